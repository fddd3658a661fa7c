package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// placement records that a flow of one of this agent's buckets lives at a peer,
// or is offered to one. It is soft state: the peer repeats it whenever the home
// changes.
type placement struct {
	target target.ID
	// confirmed is set once the peer has admitted the flow. Until then first
	// holds the packet that opens it.
	confirmed bool
	first     PacketMsg
	asked     []target.ID
	// disputed ends the wait for the one of two targets that holds the flow for
	// certain; zero while there is no dispute.
	disputed time.Time
}

// ask notes that the flow is offered to a target.
func (p *placement) ask(id target.ID) {
	p.target = id
	p.asked = append(p.asked, id)
}

// mayAsk reports whether the flow may be offered to one more target.
func (p *placement) mayAsk() bool {
	return len(p.asked) < maxPlacements
}

// tried reports whether the flow was offered to a target before.
func (p *placement) tried(id target.ID) bool {
	for _, x := range p.asked {
		if x == id {
			return true
		}
	}
	return false
}
