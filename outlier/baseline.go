package outlier

import "time"

// Baseline is the usual length and time of one route's responses at a backend server. It
// answers errors that are sent at once instead of a response, of which an agent sees only that
// they are far shorter and faster than usual. Only good responses are learned, so errors do
// not become usual while they are less than half of the responses.
type Baseline struct {
	samples int
	bytes   float64
	wait    float64
}

const (
	// minBaselineSamples is the number of responses from which on the means are used.
	minBaselineSamples = 20
	// minUsualBytes is the mean length below which a route's responses are not told apart: in
	// the users' trials, errors have up to 299 bytes.
	minUsualBytes = 300
	// shortDivisor and fastDivisor say how much shorter and faster than the means a failed
	// response is.
	shortDivisor = 2
	fastDivisor  = 4
	// learnWeight is the weight of one response in the means, as soon as there are
	// 1/learnWeight of them.
	learnWeight = 0.05
)

// Learn adds a good response: its length in bytes, and the time until it began.
func (b *Baseline) Learn(bytes uint32, wait time.Duration) {
	if b == nil {
		return
	}
	b.samples++
	w := max(learnWeight, 1/float64(b.samples))
	b.bytes += w * (float64(bytes) - b.bytes)
	b.wait += w * (float64(wait) - b.wait)
}

// Fast reports whether a response began so early that it has failed if it also stays short. It
// is false while the usual responses are not known or are short themselves.
func (b *Baseline) Fast(wait time.Duration) bool {
	return b != nil && b.samples >= minBaselineSamples && b.bytes >= minUsualBytes && float64(wait) < b.wait/fastDivisor
}

// Short reports whether a response is far shorter than usual.
func (b *Baseline) Short(bytes uint32) bool {
	return float64(bytes) < b.bytes/shortDivisor
}
