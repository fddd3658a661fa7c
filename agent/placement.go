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
	confirmed   bool
	firstPacket PacketMsg
	offeredTo   []target.ID
	// disputeEnds ends the wait for the one of two targets that holds the flow for
	// certain; zero while there is no dispute.
	disputeEnds time.Time
}

// offerTo notes that the flow is offered to a target.
func (p *placement) offerTo(id target.ID) {
	p.target = id
	p.offeredTo = append(p.offeredTo, id)
}

// canOffer reports whether the flow may be offered to one more target.
func (p *placement) canOffer() bool {
	return len(p.offeredTo) < maxOffers
}

// wasOfferedTo reports whether the flow was offered to a target before.
func (p *placement) wasOfferedTo(id target.ID) bool {
	for _, x := range p.offeredTo {
		if x == id {
			return true
		}
	}
	return false
}
