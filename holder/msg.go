package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
)

// Msg is a message that Model.Update handles.
type Msg any

// DeliverMsg is a caller's packet that a balancer sent to this agent. Data is
// only valid during the call of Update.
type DeliverMsg struct {
	From netip.AddrPort
	// Service is the service to which the balancer routed the packet.
	Service string
	// Class is the class of the route's requests.
	Class   routing.Class
	Segment segment.Segment
	Data    []byte
}

// OutboundMsg is a packet that the backend server sent.
type OutboundMsg struct {
	Segment segment.Segment
	Data    []byte
}

// ReportRequestMsg is a balancer's request for reports. Declared is the configuration
// of this agent's service that the balancer knows; its Version is zero if it knows none.
type ReportRequestMsg struct {
	From     netip.AddrPort
	Declared ConfigMsg
	// Costs has the costs of the service's routes at a target of mean speed.
	Costs []cost.RouteCost
	// WithoutLoad is set by a balancer that opens no flows here and so needs no load and
	// failures. It does not end an earlier request with load.
	WithoutLoad bool
}

// BalancersMsg lists the addresses of all registered balancers.
type BalancersMsg struct {
	Addresses []netip.AddrPort
}

// HeartbeatMsg is a heartbeat of the backend server.
type HeartbeatMsg struct {
	ID target.ID
	// Incarnation is when the backend server started, in milliseconds since 1970. It
	// orders the incarnations of backend servers at one address. Heartbeats with zero are
	// ignored.
	Incarnation uint64
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	// Draining is set while the backend server takes no new flows; it still serves those
	// that it holds.
	Draining bool
	// Slots is the maximum number of requests that the backend server processes at once.
	Slots uint32
	// ColdFor is the remaining time for which the backend server is cold after its start.
	ColdFor time.Duration
}

// DeregisterMsg announces that the backend server is stopping: unlike one that is only
// draining, its process will exit.
type DeregisterMsg struct {
	ID target.ID
	// Incarnation is zero if the message does not have it.
	Incarnation uint64
}

// ProbeMsg is the result of a probe of the backend server.
type ProbeMsg struct {
	Result ProbeResult
}

// ProbeResult is the result of an attempt to connect to the backend server and, where
// its path is known, of a health request.
type ProbeResult uint8

const (
	// ProbeReady means that the health request got status 200.
	ProbeReady ProbeResult = iota + 1
	// ProbeAlive means that the connection was established, but that no health request
	// was sent, or none got status 200.
	ProbeAlive
	// ProbeRefused means that the connection was refused: the process has exited.
	ProbeRefused
	// ProbeSilent means that the connection was not established for another reason, such
	// as a timeout.
	ProbeSilent
)

// QueryMsg is a balancer's query which of some flows the backend server holds.
type QueryMsg struct {
	From  netip.AddrPort
	Flows []QueriedFlow
}

// QueriedFlow is a flow and the latest acknowledgement number that its caller sent.
type QueriedFlow struct {
	Tuple flow.Tuple
	Ack   uint32
	// Offers is set for a flow of a handover that the backend server is not known to hold:
	// the number of its packets that were sent to the backend server. Unheld is set if the
	// backend server has returned one of them.
	Offers uint8
	Unheld bool
}

// HintsMsg lists flows that an earlier process of this agent had handed over or confirmed to
// a balancer, with the incarnation of the backend server that holds them; zero is unknown.
type HintsMsg struct {
	Flows              []QueriedFlow
	BackendIncarnation uint64
	// Handover is set if the previous process of the agent has handed the flows over.
	Handover bool
}

// ConfigMsg is the declared configuration of this agent's service.
type ConfigMsg struct {
	// Version orders configurations; an older one than that in force is ignored.
	Version uint64
	// ColdRate is the number of new flows a second that a cold backend server can
	// handle; zero is no limit.
	ColdRate float64
	// MaxFlows is the number of flows that a backend server can hold; zero is no limit.
	MaxFlows int
	// WarmUp is the time for which a backend server is cold after its start; zero is unknown.
	WarmUp time.Duration
	// IdleTimeout is the time without packets after which a flow counts as ended; zero is
	// not declared.
	IdleTimeout time.Duration
}

// EarlierRecordMsg has the incarnation of the backend server that an earlier process of
// this agent wrote to the registry, normally before it sent any flow to that
// incarnation; zero if the registry has none.
type EarlierRecordMsg struct {
	Incarnation uint64
}

// RecordedMsg reports that an incarnation of the backend server was written to the
// registry, so that the backend server may take flows. Failed is set if that has failed for
// too long instead.
type RecordedMsg struct {
	Incarnation uint64
	Failed      bool
}

// ResumedMsg reports that the agent's process was paused and has resumed.
type ResumedMsg struct{}

// StopMsg makes the agent refuse new flows, because it is about to stop.
type StopMsg struct{}

// ExitMsg says that the agent's process ends once the effects are performed.
type ExitMsg struct{}

// TickMsg lets the model check its timeouts and send reports that are due.
type TickMsg struct{}
