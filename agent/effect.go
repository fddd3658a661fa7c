package agent

import (
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Effect is an action that the runtime performs on behalf of Model.Update. A peer
// is another agent of the same service.
type Effect any

// DeliverEffect hands a packet to the local TCP stack.
type DeliverEffect struct {
	Data []byte
}

// ForwardEffect sends a packet to a peer.
type ForwardEffect struct {
	To   target.ID
	Meta packet.Meta
	Data []byte
}

// ResetEffect answers a caller's packet with a TCP reset.
type ResetEffect struct {
	// Data is the packet that is answered.
	Data []byte
}

// DropEffect counts a packet that the model has dropped.
type DropEffect struct {
	Reason packet.Reason
}

// EndFlowEffect resets a local flow towards its caller, at once or after its
// handshake. The connection to the backend server ends as a result.
type EndFlowEffect struct {
	Key flow.Key
}

// SyncEffect sends a SyncMsg to a peer.
type SyncEffect struct {
	To     target.ID
	Vector service.Vector
	Flows  []flow.Key
	// Full is set when Flows is the complete list of what this agent holds in the
	// peer's buckets; otherwise Flows are additions.
	Full bool
}

// SyncRequestEffect sends a SyncRequestMsg to a peer.
type SyncRequestEffect struct {
	To     target.ID
	Vector service.Vector
	// Full asks for the complete list.
	Full bool
}

// RegisterEffect sends a RegisterMsg to a peer, the home of the listed flows.
type RegisterEffect struct {
	To     target.ID
	Opened []flow.Key
	Ended  []flow.Key
}

// ReserveEffect asks a peer to admit a new flow.
type ReserveEffect struct {
	To     target.ID
	Key    flow.Key
	Vector service.Vector
}

// ReservedEffect replies to a ReserveMsg that the flow is admitted or refused.
type ReservedEffect struct {
	To       target.ID
	Key      flow.Key
	Admitted bool
}

// ReleaseEffect sends a ReleaseMsg to a peer, for a flow that another target may
// hold.
type ReleaseEffect struct {
	To  target.ID
	Key flow.Key
}

// LoadEffect reports this target's load to peers. Active is the number of admitted
// flows that have not closed, Limit the number that it can handle now, zero while
// it takes no new flows.
type LoadEffect struct {
	Active uint32
	Limit  uint32
}

// RequestTableEffect asks the balancer for newer declared state and a newer roster,
// from which the routing table is built.
type RequestTableEffect struct{}
