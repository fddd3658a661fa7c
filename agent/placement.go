package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// placement records that a peer holds a flow of one of this agent's buckets, or
// was offered it. The home may lose a placement: a peer lists the flows that it
// holds again when their home changes.
type placement struct {
	target target.ID
	// confirmed is set once the peer has admitted the flow. Until then firstPacket
	// is the packet that opens it.
	confirmed   bool
	firstPacket PacketMsg
	offeredTo   []target.ID
	// disputeEnds is when the agent stops waiting for one of two targets to show
	// that it holds the flow; zero while there is no dispute.
	disputeEnds time.Time
}

// offerTo records that the flow is offered to a target.
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
