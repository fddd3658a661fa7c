package holder

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// Effect is an action that the runtime performs on behalf of Model.Update. Data
// aliases the data of the message.
type Effect any

// ToBackendEffect sends a packet to the backend server.
type ToBackendEffect struct {
	Data []byte
}

// ToCallerEffect sends a packet of the backend server to its caller.
type ToCallerEffect struct {
	Segment segment.Segment
	Data    []byte
}

// ResetEffect resets a flow towards its caller.
type ResetEffect struct {
	Tuple flow.Tuple
	// Sequence is the latest acknowledgement number of the caller that this agent knows,
	// or that of the packet that the backend server returned. It is zero if the caller's
	// packets have not passed this agent.
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

// RejectReason is the reason why a packet was returned. Its values go over the
// wire.
type RejectReason uint8

const (
	// RejectNotHeld means that the backend server does not hold the packet's flow.
	RejectNotHeld RejectReason = iota + 1
	// RejectDraining means that a new flow was refused because the backend server is
	// draining or its agent is stopping.
	RejectDraining
	// RejectDown means that a new flow was refused because the backend server is not
	// ready or its incarnation is not in the registry yet.
	RejectDown
	// RejectFull means that a new flow was refused because the backend server has too
	// many requests or flows, or that the backend server returned the flow's SYN.
	RejectFull
	// RejectCold means that a new flow was refused because the backend server may be cold
	// and has got, or may have got before its agent started or resumed, as many flows
	// within the last second as a cold one can handle.
	RejectCold
	// RejectOtherService means that the packet was for another service.
	RejectOtherService
	// RejectBusy means that a new flow would wait behind others; it is admitted if it is
	// sent here again, unless the target is full.
	RejectBusy
)

var rejectNames = [...]string{"", "not held", "draining", "down", "full", "cold", "other service", "busy"}

// String returns the reason as logs and metric labels have it.
func (r RejectReason) String() string {
	if int(r) < len(rejectNames) {
		return rejectNames[r]
	}
	return "unknown"
}

// ReplyEffect replies to a query of a balancer, or confirms without a query that the
// backend server holds flows whose packets the balancer forwards. A queried flow is in none of
// the lists if this agent would be unsure and has run for less than unsureDelay.
type ReplyEffect struct {
	To   netip.AddrPort
	Held []flow.Tuple
	// BackendIncarnation is the incarnation that is known to hold all flows in Held, or
	// zero if this is not known of one of them.
	BackendIncarnation uint64
	Unheld             []flow.Tuple
	// Unsure are flows that the backend server may hold: this agent does not know
	// all of its flows yet.
	Unsure []flow.Tuple
	// Offers has, for flows in Unheld and Unsure, the number of packets that were sent to
	// the backend server although it was not known to hold the flow.
	Offers map[flow.Tuple]uint8
}

// addOffers adds the number of offered packets of a queried flow, unless it is held.
func (r *ReplyEffect) addOffers(f QueriedFlow, e *entry) {
	if e == nil || e.offered == 0 || e.holds(f.Ack) {
		return
	}
	if r.Offers == nil {
		r.Offers = map[flow.Tuple]uint8{}
	}
	r.Offers[f.Tuple] = e.offered
}

// RecordEffect writes an incarnation of the backend server to the registry before
// the backend server takes flows.
type RecordEffect struct {
	Incarnation uint64
}

// ReportEffect sends this agent's report to some balancers.
type ReportEffect struct {
	To []netip.AddrPort
	// WithoutLoad leaves load and failures out of the report; see Report.WithoutLoad.
	WithoutLoad bool
}

// ProbeEffect opens a connection to the backend server. Health also sends a health
// request, which takes one of the backend server's slots for a moment.
type ProbeEffect struct {
	Health bool
}

// LogEffect writes a log line about a change of the backend server's state. Count is
// the number of flows concerned.
type LogEffect struct {
	Event string
	Count int
}
