package target

import "time"

const (
	lossWindow = time.Second
	// lossShare is the share of the flows, and minLost the number, that must be dropped
	// within lossWindow to show a restart.
	lossShare = 0.5
	minLost   = 4
)

// lossMonitor counts the flows that a target dropped within lossWindow.
type lossMonitor struct {
	start time.Time
	lost  uint32
}

func (w *lossMonitor) observe(now time.Time, active uint32) bool {
	if now.Sub(w.start) > lossWindow {
		w.start = now
		w.lost = 0
	}
	w.lost++
	return w.lost >= minLost && float64(w.lost) >= lossShare*float64(w.lost+active)
}
