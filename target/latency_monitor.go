package target

import "time"

const (
	// latencyWindow is the time over which response times are averaged. A window counts
	// only if it has at least minResponses.
	latencyWindow = 250 * time.Millisecond
	minResponses  = 4
	// baselineWeight is the weight of a window that is not slow in the baseline.
	baselineWeight = 0.1
	// slowRatio is the ratio to the baseline above which a window is slow, and
	// slowWindows the number of successive slow windows that show a cold target.
	slowRatio   = 4
	slowWindows = 3
	// settledWindows is the number of first windows, none of which counts as slow.
	settledWindows = 4
	// slowMargin is the least excess over the baseline of a slow window, so that the
	// jitter of very fast responses does not count.
	slowMargin = 5 * time.Millisecond
)

// latencyMonitor compares recent response times with their baseline. A stall of the
// machine slows one window; a cold target slows all of them.
type latencyMonitor struct {
	// start, sum and count are of the present window.
	start time.Time
	sum   time.Duration
	count int
	// baseline is the weighted mean of the windows that were not slow, in nanoseconds.
	baseline float64
	// windows counts the windows with at least minResponses, and slow the latest
	// successive slow ones among them.
	windows int
	slow    int
}

// observe takes one response time and returns true when responses were far slower
// than the baseline for slowWindows windows in a row.
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
