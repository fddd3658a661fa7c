// Package placement decides which target gets the next flow. It is pure code:
// the same members and the same seed give the same choice.
package placement

import "time"

// Candidate is one target as a choice sees it.
type Candidate struct {
	// Local is true in the caller's failure domain.
	Local bool
	// Slots is the number of requests that the target works on at a time.
	Slots uint32
	// Busy is the mean number of requests in work at the last report.
	Busy float64
	// Flows is the number of open flows at the last report.
	Flows uint32
	// Placed is the number of flows given to the target since that report.
	Placed uint32
	// Cold is true while the target bears little.
	Cold bool
	// Silence is how long ago the target's agent was heard.
	Silence time.Duration
}

// use is the share of the target's slots that is in work once one more flow
// has come, with the mean load of a flow.
func (m Candidate) use(perFlow float64) float64 {
	slots := float64(max(m.Slots, 1))
	return (m.Busy + perFlow + float64(m.Placed)*max(perFlow, newFlowLoad)) / slots
}
