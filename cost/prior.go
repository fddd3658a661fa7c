package cost

import (
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

const (
	// slownessPrior is the number of samples of mean speed that are added to those of a
	// backend server.
	slownessPrior = 10
	// maxSlownessSamples bounds the weight of one route.
	maxSlownessSamples = 1000
)

// prior is the service-wide cost of a route.
type prior struct {
	cost         RouteCost
	distribution distribution
}

// SetPrior sets the costs that hold for routes with few observations: those of a backend
// server of mean speed. The table multiplies them by how much slower its own backend server
// is. Without any costs, it keeps the earlier ones.
func (t *Table) SetPrior(costs []RouteCost) {
	if len(costs) == 0 || slices.Equal(costs, t.received) {
		return
	}
	t.received = append(t.received[:0], costs...)
	clear(t.priors)
	for _, c := range costs {
		if c.Mean <= 0 || len(t.priors) >= maxRoutes {
			continue
		}
		c = c.bounded()
		t.priors[c.Route] = prior{
			cost:         c,
			distribution: priorDistribution(c),
		}
	}
	t.applyPriors()
}

func (t *Table) applyPriors() {
	for a, r := range t.routes {
		if _, ok := t.priors[a]; !ok && r.windows[0] == nil {
			delete(t.routes, a)
		}
	}
	for a, p := range t.priors {
		if t.routes[a] == nil && len(t.routes) < maxRoutes {
			t.add(a)
		}
		if r := t.routes[a]; r != nil {
			r.prior = &p.distribution
			r.flows.prior = p.cost.RequestsPerFlow
		}
	}
	t.slowness = t.measuredSlowness()
	for a, r := range t.routes {
		if _, ok := t.priors[a]; !ok {
			r.prior = nil
		}
		r.stale = true
		r.refreshedAt = time.Time{}
	}
}

// measuredSlowness returns the mean quotient of own and service-wide cost, over the samples of
// routes of which both are known.
func (t *Table) measuredSlowness() float64 {
	sum := float64(slownessPrior)
	n := float64(slownessPrior)
	for a, r := range t.routes {
		p, ok := t.priors[a]
		if !ok || r.ownMean <= 0 {
			continue
		}
		s := min(r.samples(), maxSlownessSamples)
		sum += s * r.ownMean / micros(p.cost.Mean)
		n += s
	}
	return min(max(sum/n, 1.0/maxDrift), maxDrift)
}

// bounded returns the cost with its values within what a table records, and its quantiles in
// order. It guards against reports of other programs.
func (c RouteCost) bounded() RouteCost {
	const low = minMicros * time.Microsecond
	const high = maxMicros * time.Microsecond
	c.Mean = min(max(c.Mean, low), high)
	c.P50 = min(max(c.P50, low), high)
	c.P90 = min(max(c.P90, c.P50), high)
	c.P99 = min(max(c.P99, c.P90), high)
	if math.IsNaN(c.RequestsPerFlow) {
		c.RequestsPerFlow = 0
	}
	c.RequestsPerFlow = min(max(c.RequestsPerFlow, 0), maxRequestsPerFlow)
	return c
}

// work returns the work of the samples.
func (c RouteCost) work() float64 {
	return micros(c.Mean) * float64(c.Samples)
}

// find returns the cost of a route, and false if there is none.
func find(l []RouteCost, route routing.Address) (RouteCost, bool) {
	for _, c := range l {
		if c.Route == route {
			return c, true
		}
	}
	return RouteCost{}, false
}
