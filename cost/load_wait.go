package cost

import (
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// Wait returns the expected time until a new request of a priority begins to be processed:
// zero while a slot is free, else the rest of the running requests and the work of the waiting
// ones that are at least as urgent, divided by the slots.
func (l Load) Wait(p routing.Priority, slots uint32) time.Duration {
	if slots == 0 {
		return 0
	}
	// The sum of numbers in a false report may exceed 32 bits.
	ahead := uint64(l.Running)
	work := l.Rest
	for _, q := range l.Queued {
		if q.Priority <= p {
			ahead += uint64(q.Requests)
			work += q.Work
		}
	}
	if ahead < uint64(slots) {
		return 0
	}
	return work / time.Duration(slots)
}

// Cost returns the cost of a route, and false if the load has none.
func (l Load) Cost(route routing.Address) (RouteCost, bool) {
	for _, c := range l.Routes {
		if c.Route == route {
			return c, true
		}
	}
	return RouteCost{}, false
}
