package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
)

// entryState is the state of a flow in the table.
type entryState uint8

const (
	// entryOpening means that the flow's SYN went to the backend server, which has not
	// sent a SYN-ACK yet.
	entryOpening entryState = iota + 1
	// entrySynAckSent means that the backend server has sent a SYN-ACK, and that the
	// caller has not completed the handshake yet.
	entrySynAckSent
	// entryOpen means that the backend server holds the flow: the handshake is complete,
	// or the backend server has sent a packet of a flow that the table lacked.
	entryOpen
	// entryOffered means that the flow was not in the table and that a packet of it was
	// sent to the backend server all the same. The backend server returns the packet to
	// the agent if it does not hold the flow; it has not done so yet.
	entryOffered
	// entryEnded means that the flow was reset or that both ends have closed it; its
	// late packets still go to the backend server.
	entryEnded
	// entryUnheld means that the backend server has returned a packet of the flow, so it
	// does not hold it. Without this state, an agent that lacks flows after its start would
	// be offered the flow again and again.
	entryUnheld
)

// entry is one flow of the backend server beside this agent.
type entry struct {
	state entryState
	// balancer is the balancer that sent the latest packet.
	balancer netip.AddrPort
	// confirmedTo is the balancer to which the flow was last confirmed.
	confirmedTo netip.AddrPort
	// firstSequence is the sequence number of the caller's SYN.
	firstSequence uint32
	// synAckSequence is the sequence number of the backend server's SYN-ACK.
	synAckSequence uint32
	// lastAck is the latest acknowledgement number of the caller, zero if none is known.
	// While the state is entryOffered, it is that of the first packet.
	lastAck uint32
	// lastPacket is when the latest packet of either direction passed.
	lastPacket time.Time
	// openedAt is when the state became entryOpen. The flow itself may be older.
	openedAt time.Time
	// requestedAt is when the request in flight began: when payload of the caller went
	// to the backend server while no request was in flight. It is zero again once the
	// backend server has sent payload or the flow has ended, or after requestTimeout.
	requestedAt time.Time
	// started is set from the start of a request at the backend server until its end is
	// known, and answered once its response has begun.
	started  bool
	answered bool
	// requests is the number of requests of the flow; it is counted only if load-aware.
	requests uint32
	// openedAge is how long the caller had waited when the flow was admitted here.
	openedAge time.Duration
	// class is the class of the flow's requests, by the latest packet of the caller.
	class routing.Class
	// waiting is the request of the flow that waits in the queue, nil if none does.
	waiting *queue.Request
	// passedTo is the sequence number after the last payload of the caller that went to the
	// backend server, if hasPassed is set. It is only kept when Config.LoadAware is set.
	passedTo  uint32
	hasPassed bool
	// sentTo is the sequence number after the last payload of the backend server, if hasSent is
	// set. It is only kept when Config.LoadAware is set.
	sentTo  uint32
	hasSent bool
	// overdueAt is when the running request no longer counts against the slots. Until then
	// usesSlot is set, and heapIndex is its position in running.list.
	overdueAt time.Time
	usesSlot  bool
	heapIndex int
	// overdue is set while the running request does not count against the slots.
	overdue bool
	// outcome is what is known of how the latest request ended.
	outcome outcome
	// offered is the number of packets that were forwarded in entryOffered.
	offered uint8
	// requestExpected is set until the first request of a flow that was admitted here.
	requestExpected bool
	// expectedWork is the work that this request will bring, by its route, and expectedLevel
	// the level of its priority; expectedWork is zero unless the agent is load-aware.
	expectedWork  time.Duration
	expectedLevel uint8
	// bytes is the payload that the backend server has sent.
	bytes      uint32
	callerFin  bool
	backendFin bool
	// wasIdle is set if the flow had been silent for longer than the idle timeout when the
	// caller's latest packet came.
	wasIdle bool
	// unverified is set for a flow that was hinted, until the backend server has sent a
	// packet of it. hintedIncarnation is the incarnation of the backend server that held it
	// by the hint; zero is unknown.
	unverified        bool
	hintedIncarnation uint64
}

// markOpen records that the backend server is now known to hold the flow.
func (e *entry) markOpen(now time.Time) {
	e.state = entryOpen
	e.openedAt = now
}

// requestPending reports whether the flow has a request in flight.
func (e *entry) requestPending() bool {
	return !e.requestedAt.IsZero()
}
