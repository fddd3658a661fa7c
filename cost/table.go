package cost

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lentilshed/lentilshed/routing"
)

// DefaultMean is the cost of a request of which nothing is known.
const DefaultMean = 50 * time.Millisecond

const (
	// maxRoutes bounds the memory of a table: a route takes some 45 KB. The route with the
	// fewest recent observations is evicted.
	maxRoutes = 32
	// sweepInterval is the time between two checks of the windows.
	sweepInterval = time.Second
	// minLostAfter is the least time after which a response counts as lost.
	minLostAfter = 250 * time.Millisecond
	// lostFactor is the multiple of the 99th percentile after which a response counts as
	// lost.
	lostFactor = 2
)

// Table has the learned distribution of the work of each route's requests at one backend
// server. It is not safe for concurrent use.
//
// It answers load whose requests differ in cost by far, such as 3% at seven times the mean, and
// backend servers whose speeds differ and change: the number of requests in flight shows neither.
type Table struct {
	now time.Time
	// nextSweep is when windows are next checked for their age.
	nextSweep time.Time
	routes    map[routing.Address]*routeEstimate
	// unknown is the estimate of routes without observations and without a prior.
	unknown *routeEstimate
	priors  map[routing.Address]prior
	// received has the costs of the latest SetPrior.
	received []RouteCost
	// slowness is the mean work of this backend server divided by the service's, over the
	// routes of which both are known.
	slowness float64
	drift    drift
	// merged is scratch space of routeEstimate.refresh.
	merged *hdrhistogram.Histogram
}

// NewTable returns a table without observations.
func NewTable() *Table {
	return &Table{
		routes: map[routing.Address]*routeEstimate{},
		unknown: &routeEstimate{
			distribution: unknownDistribution,
		},
		priors:   map[routing.Address]prior{},
		slowness: 1,
		drift:    newDrift(),
		merged:   newHistogram(),
	}
}

// Observe records how long one request of a route took to be processed, without waiting.
func (t *Table) Observe(now time.Time, route routing.Address, work time.Duration) {
	if work < 0 {
		return
	}
	t.Advance(now)
	r := t.observed(route)
	t.refresh(r)
	if r.samples() >= minDriftSamples {
		t.drift.add(&r.drift, micros(work), &r.distribution)
	}
	r.record(micros(work))
	if t.drift.significant(&r.drift) {
		t.rescale()
	}
}

// ObserveUnfinished records that a request was abandoned by its caller after some time without
// a response. If that is longer than the expected work, it shows that the backend server is
// slower than expected. Without it, a backend server so slow that all callers leave early would
// look as fast as before, because no response would ever be observed.
func (t *Table) ObserveUnfinished(now time.Time, route routing.Address, elapsed time.Duration) {
	r := t.routes[route]
	if r == nil || elapsed <= t.Mean(route) || r.samples() < minDriftSamples {
		return
	}
	t.Advance(now)
	t.drift.add(&r.drift, micros(elapsed), &r.distribution)
	if t.drift.significant(&r.drift) {
		t.rescale()
	}
}

// ObserveRequest records that a request of a route has started, and whether it is the first
// one of its flow.
func (t *Table) ObserveRequest(now time.Time, route routing.Address, first bool) {
	t.Advance(now)
	t.observed(route).flows.add(now, first)
}

// Advance lets old observations lose weight. It need not be called more often than once a
// second.
func (t *Table) Advance(now time.Time) {
	if !now.After(t.now) {
		return
	}
	t.now = now
	if t.drift.advance(now) {
		for _, r := range t.routes {
			r.drift.rescale(t.drift.last)
		}
	}
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for _, r := range t.routes {
		if r.windows[0] != nil && now.Sub(r.rotatedAt) >= window {
			t.refresh(r)
			r.rotate(now)
		}
	}
}

// Mean returns the expected work of a request of a route.
func (t *Table) Mean(route routing.Address) time.Duration {
	r, scale := t.estimate(route)
	return duration(r.distribution.mean * scale)
}

// P90 returns the work that 9 of 10 requests of a route do not exceed.
func (t *Table) P90(route routing.Address) time.Duration {
	r, scale := t.estimate(route)
	return duration(r.distribution.p90 * scale)
}

// P99 returns the work that 99 of 100 requests of a route do not exceed.
func (t *Table) P99(route routing.Address) time.Duration {
	r, scale := t.estimate(route)
	return duration(r.distribution.p99 * scale)
}

// Rest returns the expected remaining work of a request that has run for some time. It is at
// most the largest work that is known of the route, also for a request that has run longer.
func (t *Table) Rest(route routing.Address, elapsed time.Duration) time.Duration {
	r, scale := t.estimate(route)
	return duration(r.distribution.rest(micros(max(elapsed, 0))/scale) * scale)
}

// LostAfter returns the time after which the response to a request of a route is taken for
// lost.
func (t *Table) LostAfter(route routing.Address) time.Duration {
	return max(lostFactor*t.P99(route), minLostAfter)
}

// Costs returns the costs of the routes with the most work, at most n.
func (t *Table) Costs(n int) []RouteCost {
	var l []RouteCost
	for a, r := range t.routes {
		if s := r.samples(); s >= 1 {
			t.refresh(r)
			l = append(l, t.cost(a, r, s))
		}
	}
	slices.SortFunc(l, func(a, b RouteCost) int {
		return cmp.Or(cmp.Compare(b.work(), a.work()), compareAddresses(a.Route, b.Route))
	})
	return l[:min(len(l), max(n, 0))]
}

func (t *Table) cost(a routing.Address, r *routeEstimate, samples float64) RouteCost {
	scale := t.drift.scale(&r.drift)
	return RouteCost{
		Route:           a,
		Mean:            duration(r.distribution.mean * scale),
		P50:             duration(r.distribution.p50 * scale),
		P90:             duration(r.distribution.p90 * scale),
		P99:             duration(r.distribution.p99 * scale),
		Samples:         uint32(math.Round(samples)),
		RequestsPerFlow: r.flows.mean(),
	}
}

// estimate returns the estimate of a route and the factor by which its costs have changed
// lately.
func (t *Table) estimate(route routing.Address) (*routeEstimate, float64) {
	r := t.routes[route]
	if r == nil {
		return t.unknown, 1
	}
	t.refresh(r)
	return r, t.drift.scale(&r.drift)
}

// refresh brings the distribution of a route up to date, if that is due.
func (t *Table) refresh(r *routeEstimate) {
	if !r.due(t.now) {
		return
	}
	r.refresh(t.now, t.merged, t.slowness)
	t.slowness = t.measuredSlowness()
}

// rescale applies the changes of all routes to their distributions.
func (t *Table) rescale() {
	for _, r := range t.routes {
		t.refresh(r)
		r.rescale(t.drift.scale(&r.drift))
		r.drift = evidence{}
	}
	t.drift.total = evidence{}
}

// observed returns the estimate of a route with histograms, and adds it if there is none.
func (t *Table) observed(route routing.Address) *routeEstimate {
	r := t.routes[route]
	if r == nil {
		r = t.add(route)
	}
	if r.windows[0] == nil {
		r.allocate(t.now)
	}
	return r
}

// add adds a route. When the table is full, it evicts the one with the fewest samples, and
// uses its memory again.
func (t *Table) add(route routing.Address) *routeEstimate {
	r := &routeEstimate{}
	if len(t.routes) >= maxRoutes {
		r = t.evict()
	}
	r.reset(t.now)
	if p, ok := t.priors[route]; ok {
		r.prior = &p.distribution
		r.flows.prior = p.cost.RequestsPerFlow
	}
	t.routes[route] = r
	return r
}

func (t *Table) evict() *routeEstimate {
	var address routing.Address
	var least *routeEstimate
	for a, r := range t.routes {
		if least == nil || r.lessUsed(least) || (!least.lessUsed(r) && compareAddresses(a, address) < 0) {
			address = a
			least = r
		}
	}
	t.drift.total.remove(least.drift)
	delete(t.routes, address)
	return least
}

func compareAddresses(a, b routing.Address) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Port, b.Port))
}

func duration(micros float64) time.Duration {
	return time.Duration(max(micros, 0) * float64(time.Microsecond))
}
