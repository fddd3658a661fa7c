package target

import "time"

const (
	lossWindow = time.Second
	// lossShare is the part of the flows that must end at once.
	lossShare = 0.5
	minLost   = 4
)

// lossMonitor counts flows that a target dropped within a short window.
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
