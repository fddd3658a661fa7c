package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
)

// Msg is a message that Model.Update handles.
type Msg any

// DeliverMsg is a caller's packet that a balancer sent to this agent. Data is
// only valid during the update.
type DeliverMsg struct {
	From netip.AddrPort
	// Service is the service that the balancer sent the packet for.
	Service string
	Segment segment.Segment
	Data    []byte
}

// OutboundMsg is a packet that the backend server sent.
type OutboundMsg struct {
	Segment segment.Segment
	Data    []byte
}

// ReportRequestMsg is a balancer's request for reports. Declared is the configuration
// that the balancer knows.
type ReportRequestMsg struct {
	From     netip.AddrPort
	Declared ConfigMsg
}

// BalancersMsg lists the addresses of all registered balancers.
type BalancersMsg struct {
	Addresses []netip.AddrPort
}

// HeartbeatMsg is a heartbeat of the backend server.
type HeartbeatMsg struct {
	ID target.ID
	// Incarnation is when the backend server started, in milliseconds since 1970. It
	// orders the incarnations of backend servers at one address; zero is not given.
	Incarnation uint64
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	Draining bool
	// Slots is the number of requests that the backend server processes at a time.
	Slots uint32
	// ColdFor is the time for which the backend server is still cold after its start.
	ColdFor time.Duration
}

// DeregisterMsg announces that the backend server is stopping.
type DeregisterMsg struct {
	ID          target.ID
	Incarnation uint64
}

// ProbeMsg is the result of a probe of the backend server.
type ProbeMsg struct {
	Result ProbeResult
}

// ProbeResult is the result of a connection to the backend server.
type ProbeResult uint8

const (
	// ProbeReady is a good health response.
	ProbeReady ProbeResult = iota + 1
	// ProbeAlive is an open port without a good health response.
	ProbeAlive
	// ProbeRefused is a closed port: the process has exited.
	ProbeRefused
	// ProbeSilent is no response in time.
	ProbeSilent
)

// QueryMsg is a balancer's query which of some flows the backend server holds.
type QueryMsg struct {
	From  netip.AddrPort
	Flows []QueriedFlow
}

// QueriedFlow is a flow and its caller's newest acknowledgement.
type QueriedFlow struct {
	Tuple flow.Tuple
	Ack   uint32
}

// ConfigMsg is the declared configuration of this agent's service.
type ConfigMsg struct {
	// Version orders configurations; an older one than that in force is ignored.
	Version uint64
	// ColdRate is the number of new flows a second that a cold backend server can
	// handle; zero is no limit.
	ColdRate float64
	// MaxFlows is the number of flows that a backend server can hold; zero is no limit.
	MaxFlows    int
	IdleTimeout time.Duration
}

// EarlierRecordMsg is the incarnation of the backend server that an earlier agent
// process had recorded before it sent any flow to it; zero if there is no record.
type EarlierRecordMsg struct {
	Incarnation uint64
}

// RecordedMsg reports that an incarnation of the backend server is recorded, so that
// it may take flows.
type RecordedMsg struct {
	Incarnation uint64
}

// ResumedMsg reports that the process was paused and has resumed.
type ResumedMsg struct{}

// StopMsg makes the agent refuse new flows, because it is about to stop.
type StopMsg struct{}

// TickMsg lets the model check its timeouts and send reports that are due.
type TickMsg struct{}
