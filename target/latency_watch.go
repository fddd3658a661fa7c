package target

import "time"

const (
	fastRate = 0.3
	slowRate = 0.01
	// slowRatio is the rise over the usual latency that is taken for a restart.
	slowRatio = 4
	// slowSamples is how many answers in a row must be slow.
	slowSamples = 8
	// settledSamples is how many answers make the usual latency known.
	settledSamples = 32
	// leastLatency hides the jitter of very fast answers.
	leastLatency = 2 * time.Millisecond
)

// latencyWatch compares recent answers with the usual ones.
type latencyWatch struct {
	fast    float64
	usual   float64
	samples int
	slow    int
}

// observe takes one answer time and returns true when answers have been far
// slower than usual for several in a row.
func (w *latencyWatch) observe(d time.Duration) bool {
	x := float64(max(d, leastLatency))
	w.samples++
	if w.samples == 1 {
		w.fast = x
		w.usual = x
	}
	w.fast += fastRate * (x - w.fast)
	if w.samples > settledSamples && w.fast > slowRatio*w.usual {
		w.slow++
		return w.slow >= slowSamples
	}
	w.slow = 0
	w.usual += slowRate * (x - w.usual)
	return false
}
