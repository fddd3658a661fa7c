package holder

import (
	"net/netip"
	"time"
)

// entryState is the place of a flow in its life.
type entryState uint8

const (
	// entryOpening waits for the backend server to accept the flow.
	entryOpening entryState = iota + 1
	// entryAccepted waits for the caller to acknowledge the acceptance.
	entryAccepted
	// entryOpen is a flow that the backend server holds.
	entryOpen
	// entryOffered is a flow that the backend server may hold: a packet of it
	// was handed over, and has not come back yet.
	entryOffered
	// entryEnded is a flow that both ends have closed; late packets still
	// belong to the backend server.
	entryEnded
)

// entry is one flow of the backend server beside this agent.
type entry struct {
	state entryState
	// via is the balancer that sent the latest packet.
	via netip.AddrPort
	// first is the sequence number of the caller's first packet.
	first uint32
	// accepted is the sequence number of the backend server's acceptance.
	accepted uint32
	// lastAck is the newest acknowledgement of the caller.
	lastAck uint32
	// seen is when the latest packet passed.
	seen time.Time
	// opened is when the flow was first known to be open here.
	opened time.Time
	// asked is when the caller's request went to the backend server; zero while
	// no request is in work.
	asked time.Time
	// answered is when the backend server last sent anything.
	answered  time.Time
	callerFin bool
	targetFin bool
}

func (e *entry) open(now time.Time) {
	e.state = entryOpen
	e.opened = now
}

// working reports whether the flow has a request in work.
func (e *entry) working() bool {
	return !e.asked.IsZero()
}
