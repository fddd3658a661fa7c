package holder

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// Effect is anything that the runtime does on behalf of Model.Update. Data
// aliases the data of the message.
type Effect any

// ToBackendEffect hands a packet to the backend server.
type ToBackendEffect struct {
	Data []byte
}

// ToCallerEffect sends a packet of the backend server to its caller.
type ToCallerEffect struct {
	Segment segment.Segment
	Data    []byte
}

// ResetEffect tells a caller that its flow has ended.
type ResetEffect struct {
	Tuple flow.Tuple
	// Sequence is the caller's newest acknowledgement.
	Sequence uint32
	Cause    ResetCause
}

// ResetCause says why a flow was reset.
type ResetCause string

// The causes of a reset.
const (
	CauseBackendReplaced ResetCause = "backend server was replaced"
	CauseBackendGone     ResetCause = "backend server is gone"
	CauseBackendLostFlow ResetCause = "backend server does not hold the flow"
)

// RejectEffect returns a packet to the balancer that sent it.
type RejectEffect struct {
	To      netip.AddrPort
	Reason  RejectReason
	Segment segment.Segment
	Data    []byte
}

// RejectReason says why a packet was returned.
type RejectReason uint8

const (
	// RejectNotHeld is a packet of a flow that the backend server does not hold.
	RejectNotHeld RejectReason = iota + 1
	// RejectDraining is a new flow for a backend server that leaves.
	RejectDraining
	// RejectDown is a new flow for a backend server that is not there.
	RejectDown
	// RejectFull is a new flow for a backend server without room.
	RejectFull
	// RejectCold is a new flow for a backend server that bears no more now.
	RejectCold
	// RejectOtherService is a packet for another service.
	RejectOtherService
)

var rejectNames = [...]string{"", "not held", "draining", "down", "full", "cold", "other service"}

// String returns the reason for logs.
func (r RejectReason) String() string {
	if int(r) < len(rejectNames) {
		return rejectNames[r]
	}
	return "unknown"
}

// ReplyEffect answers a query.
type ReplyEffect struct {
	To     netip.AddrPort
	Held   []flow.Tuple
	Unheld []flow.Tuple
	Unsure []flow.Tuple
}

// RecordEffect records a life of the backend server before it takes flows.
type RecordEffect struct {
	Incarnation uint64
}

// ReportEffect sends this agent's report to some balancers.
type ReportEffect struct {
	To []netip.AddrPort
}

// ProbeEffect opens a connection to the backend server. Health asks it for its
// health as well, which takes one of its slots for a moment.
type ProbeEffect struct {
	Health bool
}

// LogEffect is a line for the log about what the agent believes now.
type LogEffect struct {
	Event string
	Count int
}
