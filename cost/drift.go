package cost

import (
	"math"
	"time"
)

const (
	// driftHalfLife is the half-life of the comparison of recent with expected work. It is
	// short enough to detect within 2 s that a backend server has become slow.
	driftHalfLife = 700 * time.Millisecond
	// driftPrior is the number of requests of the expected work that are added to the recent
	// ones, so that a single one shows little.
	driftPrior = 3
	// minDriftSamples is the number of samples of a route from which on its requests are
	// compared with the expected work.
	minDriftSamples = 8
	// clipFactor is the multiple of the mean to which single requests are cut for the
	// comparison. The comparison is of cut values on both sides, so a tail does not bias it,
	// and one request of the tail is not taken for a slower backend server.
	clipFactor = 3
	// minEvidence and minChange are the recent requests and the factor from which on a change
	// is taken for lasting. With a tail of 3% at seven times the mean, the quotient of ten
	// requests has a standard deviation of some 0.12.
	minEvidence = 10
	minChange   = 1.5
	// maxDrift bounds the factor.
	maxDrift = 16
	// maxEvidenceWeight is the weight of new evidence at which all is scaled down.
	maxEvidenceWeight = 1 << 20
)

// drift compares the work of recent requests with the work that was expected of them, over all
// routes and for each. It answers a backend server that becomes slow: the distributions, which
// need many samples for their tails, would show it only after several seconds.
type drift struct {
	// start is when evidence had the weight 1, and weight is that of evidence now. Weights
	// grow instead of old evidence being decayed with each request.
	start  time.Time
	weight float64
	// last is the latest factor of a scaling down.
	last  float64
	total evidence
}

// evidence is the sum of recent quotients of work and expected work, and their number.
type evidence struct {
	sum, n float64
}

func newDrift() drift {
	return drift{
		weight: 1,
	}
}

// advance sets the weight of evidence that comes now, and reports whether the evidence of each
// route is to be scaled by last.
func (d *drift) advance(now time.Time) bool {
	if d.start.IsZero() {
		d.start = now
	}
	d.weight = math.Exp2(min(float64(now.Sub(d.start))/float64(driftHalfLife), 1000))
	if d.weight < maxEvidenceWeight {
		return false
	}
	d.last = 1 / d.weight
	d.start = now
	d.weight = 1
	d.total.rescale(d.last)
	return true
}

// add compares the work of one request with the distribution of its route.
func (d *drift) add(route *evidence, micros float64, x *distribution) {
	clip := clipFactor * x.mean * d.scale(route)
	quotient := min(micros, clip) / x.clipped
	route.add(quotient, d.weight)
	d.total.add(quotient, d.weight)
}

// scale returns the factor from expected to present work of a route. With little evidence of
// the route, it is that of all routes, and with little of these, one.
func (d *drift) scale(route *evidence) float64 {
	p := driftPrior * d.weight
	all := (d.total.sum + p) / (d.total.n + p)
	return min(max((route.sum+p*all)/(route.n+p), 1.0/maxDrift), maxDrift)
}

// significant reports whether the costs of a route or of all have changed for longer.
func (d *drift) significant(route *evidence) bool {
	enough := minEvidence * d.weight
	return (route.n >= enough && changed(d.scale(route))) ||
		(d.total.n >= enough && changed((d.total.sum+driftPrior*d.weight)/(d.total.n+driftPrior*d.weight)))
}

func changed(factor float64) bool {
	return factor >= minChange || factor <= 1/minChange
}

func (e *evidence) add(quotient, weight float64) {
	e.sum += quotient * weight
	e.n += weight
}

// remove subtracts evidence that is part of e.
func (e *evidence) remove(x evidence) {
	e.sum = max(0, e.sum-x.sum)
	e.n = max(0, e.n-x.n)
}

func (e *evidence) rescale(factor float64) {
	e.sum *= factor
	e.n *= factor
}
