package holder

import (
	"net/netip"
	"time"
)

// entryState is the state of a flow in the table.
type entryState uint8

const (
	// entryOpening is a flow that the backend server has not accepted yet.
	entryOpening entryState = iota + 1
	// entryAccepted is a flow whose acceptance the caller has not acknowledged yet.
	entryAccepted
	// entryOpen is a flow that the backend server holds.
	entryOpen
	// entryOffered is a flow that the backend server may hold: it was sent a packet of
	// the flow and has not returned it yet.
	entryOffered
	// entryEnded is a flow that was reset or that both ends have closed; late
	// packets still go to the backend server.
	entryEnded
)

// entry is one flow of the backend server beside this agent.
type entry struct {
	state entryState
	// balancer is the balancer that sent the latest packet.
	balancer netip.AddrPort
	// firstSequence is the sequence number of the caller's first packet.
	firstSequence uint32
	// acceptedSequence is the sequence number of the backend server's acceptance.
	acceptedSequence uint32
	// lastAck is the newest acknowledgement of the caller.
	lastAck uint32
	// lastPacket is when the latest packet of either direction passed.
	lastPacket time.Time
	// openedAt is when the flow was first known to be open here.
	openedAt time.Time
	// requestedAt is when the caller's request went to the backend server; zero while
	// no request is in flight.
	requestedAt time.Time
	// lastResponse is when the backend server last sent a packet of the flow.
	lastResponse time.Time
	callerFin    bool
	backendFin   bool
}

func (e *entry) markOpen(now time.Time) {
	e.state = entryOpen
	e.openedAt = now
}

// requestPending reports whether the flow has a request in flight.
func (e *entry) requestPending() bool {
	return !e.requestedAt.IsZero()
}
