package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// placement records that a flow of one of this agent's buckets lives at a
// peer. It is soft state: the peer repeats it whenever the home changes.
type placement struct {
	target target.ID
	// confirmed is set once the peer says that it holds the flow.
	confirmed bool
	expires   time.Time
	asked     [maxPlacements]target.ID
	count     int
}

// ask notes that the flow is offered to a target.
func (p *placement) ask(id target.ID, now time.Time) {
	p.target = id
	p.confirmed = false
	p.expires = now.Add(placementTimeout)
	if p.count < maxPlacements {
		p.asked[p.count] = id
	}
	p.count++
}

// tried reports whether the flow was offered to a target before.
func (p *placement) tried(id target.ID) bool {
	for _, x := range p.asked[:min(p.count, maxPlacements)] {
		if x == id {
			return true
		}
	}
	return false
}
