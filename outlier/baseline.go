package outlier

import "time"

// Baseline is the usual length and time of one route's responses at a backend server. It
// answers errors that are sent at once instead of a response, of which an agent sees only that
// they are far shorter and faster than usual. Only good responses are learned, so errors do
// not become usual while they are less than half of the responses.
//
// It starts from the service-wide values if they are known, because a backend server that fails
// from its first request has no good responses. They count as minBaselineSamples samples, of
// which a third remains after 20 good responses and a twentieth after 60. What was learned
// before they came is discarded: it may have been learned from errors.
//
// A new version may have responses that are far shorter and faster than the service-wide ones,
// and agents cannot distinguish these from errors. They become usual after acceptAfter if fewer than
// minBaselineSamples responses of the route were good until then.
type Baseline struct {
	usual means
	// learned is the number of good responses, and seeded is set once usual began with the
	// service-wide values.
	learned int
	seeded  bool
	// failed has the responses that were too short, since failedSince, while few were good.
	failed      means
	failedSince time.Duration
}

// means are the mean length of responses and the mean time until they began.
type means struct {
	samples int
	bytes   float64
	wait    float64
}

const (
	// minBaselineSamples is the number of responses from which on the means are used.
	minBaselineSamples = 20
	// minUsualBytes is the mean length below which a route's responses are not classified by length: in
	// the users' trials, errors have up to 299 bytes.
	minUsualBytes = 300
	// shortDivisor and fastDivisor say how much shorter and faster than the means a failed
	// response is.
	shortDivisor = 2
	fastDivisor  = 4
	// learnWeight is the weight of one response in the means, as soon as there are
	// 1/learnWeight of them.
	learnWeight = 0.05
	// acceptAfter is long, because a broken backend server gets its flows back then. A release
	// of good servers hardly needs it: none is ejected once half of the servers have the new
	// version. It bounds the loss of capacity if only a few servers get that version.
	acceptAfter = 10 * time.Minute
)

// Usual is the service-wide mean length of a route's good responses, and the mean time until
// they begin. A length of zero is not known.
type Usual struct {
	Bytes uint32
	Wait  time.Duration
}

// seed begins with service-wide values, unless that was done before.
func (b *Baseline) seed(u Usual) {
	if b.seeded || u.Bytes == 0 {
		return
	}
	*b = Baseline{
		usual: means{
			samples: minBaselineSamples,
			bytes:   float64(u.Bytes),
			wait:    float64(u.Wait),
		},
		seeded: true,
	}
}

// Learn adds a good response: its length in bytes, and the time until it began. It ignores one
// that is failed by what has become known since it was classified.
func (b *Baseline) Learn(bytes uint32, wait time.Duration) {
	if b == nil || b.Fast(wait) && b.Short(bytes) {
		return
	}
	b.learned++
	b.usual.add(bytes, wait)
}

// LearnFailed adds a response that has failed by its length and time, at a time since the
// start of the agent. It is not part of the usual ones unless acceptAfter has passed.
func (b *Baseline) LearnFailed(at time.Duration, bytes uint32, wait time.Duration) {
	if b == nil || b.learned >= minBaselineSamples {
		return
	}
	if b.failed.samples == 0 {
		b.failedSince = at
	}
	b.failed.add(bytes, wait)
	if b.failed.samples >= minBaselineSamples && at-b.failedSince >= acceptAfter {
		b.usual = b.failed
		b.failed = means{}
		b.learned = 0
	}
}

// Bytes returns the mean length of good responses, zero while too few were learned.
func (b *Baseline) Bytes() uint32 {
	if b == nil || b.learned < minBaselineSamples {
		return 0
	}
	return uint32(b.usual.bytes)
}

// Fast reports whether a response began so early that it has failed if it also stays short. It
// is false while the usual responses are not known or are short themselves.
func (b *Baseline) Fast(wait time.Duration) bool {
	return b != nil && b.usual.samples >= minBaselineSamples && b.usual.bytes >= minUsualBytes && float64(wait) < b.usual.wait/fastDivisor
}

// Short reports whether a response is far shorter than usual.
func (b *Baseline) Short(bytes uint32) bool {
	return float64(bytes) < b.usual.bytes/shortDivisor
}

func (m *means) add(bytes uint32, wait time.Duration) {
	m.samples++
	w := max(learnWeight, 1/float64(m.samples))
	m.bytes += w * (float64(bytes) - m.bytes)
	m.wait += w * (float64(wait) - m.wait)
}
