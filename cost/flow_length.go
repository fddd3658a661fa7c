package cost

import (
	"math"
	"time"
)

const (
	// flowHalfLife is the half-life of the counts of requests and flows. It is about as long
	// as long flows stay open.
	flowHalfLife = time.Minute
	// maxRequestsPerFlow bounds the mean number of requests of a flow.
	maxRequestsPerFlow = 10_000
)

// flowLength estimates the number of requests of one flow of a route: the recent requests
// divided by the recent flows. A request counts when it starts, so a route whose flows stay
// open for minutes is recognised before any of them ends.
type flowLength struct {
	updatedAt time.Time
	requests  float64
	flows     float64
	// prior is the service-wide mean, zero for none. It holds until the first request.
	prior float64
}

func (f *flowLength) add(now time.Time, first bool) {
	if d := now.Sub(f.updatedAt); !f.updatedAt.IsZero() && d > 0 {
		keep := math.Exp2(-float64(d) / float64(flowHalfLife))
		f.requests *= keep
		f.flows *= keep
	}
	f.updatedAt = now
	f.requests++
	if first {
		f.flows++
	}
}

// mean returns the mean number of requests of one flow, zero if it is unknown.
func (f *flowLength) mean() float64 {
	if f.requests == 0 {
		return f.prior
	}
	return min(max(f.requests/max(f.flows, 1), 1), maxRequestsPerFlow)
}
