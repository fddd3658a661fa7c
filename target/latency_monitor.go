package target

import "time"

const (
	// latencyWindow is the span whose answers are averaged; a window takes part
	// in a decision only when it has enough answers.
	latencyWindow  = 250 * time.Millisecond
	minResponses   = 4
	baselineWeight = 0.1
	slowRatio      = 4
	slowWindows    = 3
	settledWindows = 4
	// slowMargin hides the jitter of very fast answers.
	slowMargin = 5 * time.Millisecond
)

// latencyMonitor compares recent answers with the usual ones. A stall of the
// machine slows one window; a cold target slows all of them.
type latencyMonitor struct {
	start    time.Time
	sum      time.Duration
	count    int
	baseline float64
	windows  int
	slow     int
}

// observe takes one answer time and returns true when answers have been far
// slower than usual for several windows in a row.
func (w *latencyMonitor) observe(now time.Time, d time.Duration) bool {
	if w.start.IsZero() {
		w.start = now
	}
	if now.Sub(w.start) < latencyWindow {
		w.sum += d
		w.count++
		return false
	}
	mean := float64(w.sum) / float64(max(1, w.count))
	enough := w.count >= minResponses
	w.start = now
	w.sum = d
	w.count = 1
	return enough && w.closeWindow(mean)
}

func (w *latencyMonitor) closeWindow(mean float64) bool {
	w.windows++
	if w.windows == 1 {
		w.baseline = mean
	}
	if w.windows > settledWindows && mean > slowRatio*w.baseline && mean > w.baseline+float64(slowMargin) {
		w.slow++
		return w.slow >= slowWindows
	}
	w.slow = 0
	w.baseline += baselineWeight * (mean - w.baseline)
	return false
}
