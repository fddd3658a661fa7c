// Package placement chooses the target of a new flow. The choice depends only on the
// configuration, the candidates and the seed.
package placement

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
)

// Candidate is one target among which a choice is made.
type Candidate struct {
	// Key identifies the target in the draw; see Rank.
	Key uint64
	// Local is true for a target in the balancer's failure domain.
	Local bool
	// Slots is the number of requests that the target can work on at a time.
	Slots uint32
	// Busy is the mean number of requests in flight at the last report.
	Busy float64
	// Flows is the number of flows at the last report, in any state.
	Flows uint32
	// Placed is the number of flows sent to the target since that report.
	Placed uint32
	// Cold is true while the target can handle little load because it has just started.
	Cold bool
	// Silence is the time since the latest report of the target's agent, or a long time
	// if there was none.
	Silence time.Duration
	// Load is the load in the latest report, and Backlog the work ahead by now. ChooseByDelay
	// uses them; both are nil if no load is known.
	Load    *cost.Load
	Backlog *Backlog
}

// use returns the share of the target's slots that is in use once one more flow has
// come; it is above one if requests wait. perFlow is the mean load of a flow, in slots.
func (c Candidate) use(perFlow float64) float64 {
	slots := float64(max(c.Slots, 1))
	return (c.Busy + perFlow + float64(c.Placed)*max(perFlow, newFlowLoad)) / slots
}
