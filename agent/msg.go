package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Msg is a message that Model.Update takes.
type Msg any

// PacketMsg is a packet from a balancer or another agent. Data is the inner
// packet; the model may keep it while the packet is held.
type PacketMsg struct {
	Meta  packet.Meta
	Inner packet.Inner
	Data  []byte
	// expires is when a held packet is dropped.
	expires time.Time
}

// TableMsg is a new routing table of the agent's service. A table that does not
// cover the one in force is ignored.
type TableMsg struct {
	Table *service.Table
	Gate  target.GateConfig
	// DrainDeadline is when a drain ends the remaining flows; zero means never.
	DrainDeadline time.Time
}

// FencedMsg says that the roster holds a newer incarnation of this target.
type FencedMsg struct{}

// SyncRequestMsg asks which flows this agent holds in the sender's buckets
// under a vector or a later one. Full asks for the complete list.
type SyncRequestMsg struct {
	From   target.ID
	Vector service.Vector
	Full   bool
}

// SyncMsg says that this agent has been sent every flow that a peer holds in
// this agent's buckets under a vector. Flows is the complete list when Full is
// set, otherwise additions.
type SyncMsg struct {
	From   target.ID
	Vector service.Vector
	Flows  []flow.Key
	Full   bool
}

// RegisterMsg lists flows that a peer holds for certain, and flows that it does
// not hold.
type RegisterMsg struct {
	From   target.ID
	Opened []flow.Key
	Ended  []flow.Key
}

// ReserveMsg asks this agent to admit a new flow on behalf of its home.
type ReserveMsg struct {
	From   target.ID
	Key    flow.Key
	Vector service.Vector
}

// ReservedMsg is the reply to a ReserveEffect.
type ReservedMsg struct {
	From     target.ID
	Key      flow.Key
	Admitted bool
}

// ReleaseMsg asks this agent to end a flow that another target may hold. If the flow
// is established here, it continues and the reply is a RegisterMsg.
type ReleaseMsg struct {
	From target.ID
	Key  flow.Key
}

// LoadMsg is the load that a peer reports. LoadEffect says what the fields mean.
type LoadMsg struct {
	From   target.ID
	Active uint32
	Limit  uint32
}

// PeerLostMsg says that the connection from a peer broke or was replaced. The
// peer's load is unknown until it reports again.
type PeerLostMsg struct {
	From target.ID
}

// PeerUnreachableMsg says that the connection to a peer broke, so that messages
// to it may be lost.
type PeerUnreachableMsg struct {
	To target.ID
}

// FlowEstablishedMsg says that a caller has completed the handshake of a local
// flow.
type FlowEstablishedMsg struct {
	Key flow.Key
}

// FlowEndedMsg says that both directions of a local flow have closed, or that
// it never opened. LostByBackend is set when the backend server's connection
// failed.
type FlowEndedMsg struct {
	Key           flow.Key
	LostByBackend bool
}

// LatencyMsg is the time that the backend server took to answer.
type LatencyMsg struct {
	Latency time.Duration
}

// BackendLoadMsg is the load that the backend server reports, as a share of its
// capacity.
type BackendLoadMsg struct {
	Load float64
}

// BackendRestartMsg says that the backend server appears to have restarted.
type BackendRestartMsg struct{}

// StopMsg asks the agent to take no new flows.
type StopMsg struct{}

// TickMsg drives timeouts. Send it several times a second.
type TickMsg struct{}
