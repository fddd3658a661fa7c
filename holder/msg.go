package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
)

// Msg is anything that Model.Update takes.
type Msg any

// DeliverMsg is a caller's packet that a balancer sent to this agent. Data is
// only valid during the update.
type DeliverMsg struct {
	From netip.AddrPort
	// Service is the service that the balancer meant.
	Service string
	Segment segment.Segment
	Data    []byte
}

// OutboundMsg is a packet that the backend server sent.
type OutboundMsg struct {
	Segment segment.Segment
	Data    []byte
}

// ReportRequestMsg asks for reports, and tells what the balancer knows to be declared.
type ReportRequestMsg struct {
	From     netip.AddrPort
	Declared ConfigMsg
}

// BalancersMsg lists the balancers that have registered.
type BalancersMsg struct {
	Addresses []netip.AddrPort
}

// HeartbeatMsg is what the backend server says of itself.
type HeartbeatMsg struct {
	ID target.ID
	// Incarnation orders the lives of backend servers at one address, in milliseconds.
	Incarnation uint64
	// Sequence orders the heartbeats of one life.
	Sequence uint64
	Draining bool
	Slots    uint32
	// ColdFor is how long the backend server remains slow after its start.
	ColdFor time.Duration
}

// DeregisterMsg says that the backend server ends now.
type DeregisterMsg struct {
	ID          target.ID
	Incarnation uint64
}

// ProbeMsg is the result of a connection to the backend server.
type ProbeMsg struct {
	Result ProbeResult
}

// ProbeResult is what a connection to the backend server showed.
type ProbeResult uint8

const (
	// ProbeReady is a good health answer.
	ProbeReady ProbeResult = iota + 1
	// ProbeAlive is an open port without a good health answer.
	ProbeAlive
	// ProbeRefused is a closed port: the process is gone.
	ProbeRefused
	// ProbeSilent is no answer in time.
	ProbeSilent
)

// QueryMsg asks which of some flows the backend server holds.
type QueryMsg struct {
	From  netip.AddrPort
	Flows []QueriedFlow
}

// QueriedFlow names a flow and its caller's newest acknowledgement.
type QueriedFlow struct {
	Tuple flow.Tuple
	Ack   uint32
}

// ConfigMsg is what the operators declare of this agent's service.
type ConfigMsg struct {
	// Version orders configurations; an older one than that in force is ignored.
	Version     uint64
	ColdRate    float64
	MaxFlows    int
	IdleTimeout time.Duration
}

// EarlierRecordMsg is the life of the backend server that an earlier agent process had
// recorded before it gave any flow to it; zero if there is no record.
type EarlierRecordMsg struct {
	Incarnation uint64
}

// RecordedMsg says that a life of the backend server is recorded now, so that
// it may take flows.
type RecordedMsg struct {
	Incarnation uint64
}

// ResumedMsg says that the process stood still for a while.
type ResumedMsg struct{}

// StopMsg asks the agent to take no more flows.
type StopMsg struct{}

// TickMsg drives timeouts.
type TickMsg struct{}
