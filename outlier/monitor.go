package outlier

import (
	"math"
	"time"
)

// Monitor keeps the failure share of one backend server. It answers a server that fails fast
// and so looks idle: the share must rise within a second under load, and must fall again when
// only probe traffic, one in 50 of its share, is left to show that the server has recovered.
//
// The share is a mean that is weighted by age. A plain ratio of decayed counts would keep its
// value without requests, so an ejected server would hardly ever return. Therefore the share
// also falls by its half-life while no requests end. The zero value is a server that is good.
type Monitor struct {
	share float64
	// recent is the decayed number of samples that the share is the mean of, and samples, which
	// decays more slowly, the evidence.
	recent  float64
	samples float64
	// updatedAt is the time up to which all have been decayed, and sampledAt that of the
	// latest sample.
	updatedAt time.Time
	sampledAt time.Time
	failing   bool
}

const (
	// halfLife is that of the share. A share of one falls below GoodShare after 3.06 half-lives,
	// and with maxSampleGap and the delay of a report that is within ReturnTimeout.
	halfLife = 1800 * time.Millisecond
	// evidenceHalfLife is longer: a backend server with two slots that never responds gets two
	// requests a second, as each counts as in flight for 3 s, and so would never have
	// MinSamples within halfLife.
	evidenceHalfLife = 6 * time.Second
	// maxSampleGap is the time without a sample from which on the share falls. With a shorter
	// one, the share of a server with some ten requests a second would be too low.
	maxSampleGap = 250 * time.Millisecond
	// prior is the number of good requests that is assumed of a server without samples.
	prior = 4
)

// Record adds the outcome of one request.
func (m *Monitor) Record(now time.Time, failed bool) {
	m.decay(now)
	m.sampledAt = now
	m.samples++
	m.recent++
	weight := m.recent + prior
	outcome := 0.0
	if failed {
		outcome = 1
		if m.failing {
			// An ejected server has a request or two within the half-life, and one that fails
			// must not count less because of a prior that other failures have refuted.
			weight = m.recent
		}
	}
	m.share += (outcome - m.share) / weight
	m.decide()
}

// Advance decays the share and the evidence up to now.
func (m *Monitor) Advance(now time.Time) {
	m.decay(now)
	m.decide()
}

func (m *Monitor) decay(now time.Time) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		m.sampledAt = now
		return
	}
	d := now.Sub(m.updatedAt)
	if d <= 0 {
		return
	}
	m.samples *= remains(d, evidenceHalfLife)
	m.recent *= remains(d, halfLife)
	if idle := min(d, now.Sub(m.sampledAt)-maxSampleGap); idle > 0 {
		m.share *= remains(idle, halfLife)
	}
	m.updatedAt = now
}

// remains returns what is left of a value after some time.
func remains(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

func (m *Monitor) decide() {
	before := m.failing
	m.failing = Estimate{
		Share:   m.share,
		Samples: m.samples,
	}.Failing(before)
	if m.failing && !before {
		// Few requests come from now on, and they must count beside the many before: with 40%
		// errors, the server returned after 2.5 s in a trial although its probes failed.
		m.recent = min(m.recent, prior)
	}
}

// Failing reports whether the backend server is failing.
func (m *Monitor) Failing() bool {
	return m.failing
}

// Share returns the share of recent requests that failed.
func (m *Monitor) Share() float64 {
	return m.share
}

// Estimate returns what is reported to balancers. While the backend server is failing, it
// passes FailingShare and MinSamples also when the share itself has fallen between the two
// thresholds, so that a balancer that has just started learns of it from its first report.
func (m *Monitor) Estimate() Estimate {
	e := Estimate{
		Share:   m.share,
		Samples: m.samples,
	}
	if m.failing {
		e.Share = max(e.Share, FailingShare)
		e.Samples = max(e.Samples, MinSamples)
	}
	return e
}
