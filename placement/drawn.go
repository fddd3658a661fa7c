package placement

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
)

// drawn has the candidates with the highest ranks, by failure domain. Silent ones count only
// where no others are.
type drawn struct {
	local        ranks
	remote       ranks
	silentLocal  ranks
	silentRemote ranks
}

func (d *drawn) add(index int, rank uint64, local, silent bool) {
	switch {
	case local && silent:
		d.silentLocal.add(index, rank)
	case local:
		d.local.add(index, rank)
	case silent:
		d.silentRemote.add(index, rank)
	default:
		d.remote.add(index, rank)
	}
}

func (d *drawn) best(local bool) *ranks {
	switch {
	case local && d.local.n > 0:
		return &d.local
	case local:
		return &d.silentLocal
	case d.remote.n > 0:
		return &d.remote
	}
	return &d.silentRemote
}

// ranks has the highest ranks of one group of candidates, the highest first.
type ranks struct {
	n       int
	entries [drawnTargets]ranked
}

type ranked struct {
	index int
	rank  uint64
}

func (r *ranks) add(index int, rank uint64) {
	i := r.n
	for i > 0 && r.entries[i-1].rank < rank {
		i--
	}
	if i == drawnTargets {
		return
	}
	r.n = min(r.n+1, drawnTargets)
	copy(r.entries[i+1:r.n], r.entries[i:])
	r.entries[i] = ranked{
		index: index,
		rank:  rank,
	}
}

// routeCosts are the costs of a route over the drawn candidates.
type routeCosts struct {
	// mean is the mean cost, in nanoseconds, for candidates that have not learned it.
	mean float64
	// long is true if flows of the route carry many requests.
	long bool
}

// costs returns the costs of the flow's route over the candidates that have learned them.
func (d *drawn) costs(candidates []Candidate, f Flow) routeCosts {
	known := 0.0
	sum := 0.0
	requests := 0.0
	for _, local := range [...]bool{true, false} {
		l := d.best(local)
		for _, e := range l.entries[:l.n] {
			if x, ok := learned(candidates[e.index], f.Route); ok {
				known++
				sum += float64(x.Mean)
				requests += x.RequestsPerFlow
			}
		}
	}
	if known == 0 {
		return routeCosts{
			mean: float64(cost.DefaultMean),
		}
	}
	return routeCosts{
		mean: sum / known,
		long: requests/known > manyRequests,
	}
}

// at returns the mean cost of a route at a candidate, in nanoseconds.
func (r routeCosts) at(t Candidate, route routing.Address) float64 {
	if x, ok := learned(t, route); ok {
		return float64(x.Mean)
	}
	return r.mean
}

// learned returns the cost of a route at a candidate, and false if it has not learned it.
func learned(t Candidate, route routing.Address) (cost.RouteCost, bool) {
	if t.Load == nil {
		return cost.RouteCost{}, false
	}
	x, ok := t.Load.Cost(route)
	x.Mean = min(x.Mean, time.Minute)
	return x, ok && x.Mean > 0
}
