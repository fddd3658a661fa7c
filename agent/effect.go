package agent

import (
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// Effect is an action that the runtime performs on behalf of Model.Update.
type Effect any

// DeliverEffect hands a packet to the local TCP stack.
type DeliverEffect struct {
	Data []byte
}

// ForwardEffect sends a packet to another agent.
type ForwardEffect struct {
	To   target.ID
	Meta packet.Meta
	Data []byte
}

// ResetEffect answers a packet with a TCP reset to the caller.
type ResetEffect struct {
	Data []byte
}

// DropEffect counts a dropped packet.
type DropEffect struct {
	Reason packet.Reason
}

// EndFlowEffect resets a local flow on both sides.
type EndFlowEffect struct {
	Key flow.Key
}

// SyncEffect sends a SyncMsg to a peer.
type SyncEffect struct {
	To     target.ID
	Vector service.Vector
	Flows  []flow.Key
	Full   bool
}

// SyncRequestEffect sends a SyncRequestMsg to a peer.
type SyncRequestEffect struct {
	To     target.ID
	Vector service.Vector
	Full   bool
}

// RegisterEffect sends a RegisterMsg to the home of the listed flows.
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

// ReservedEffect replies to a ReserveMsg.
type ReservedEffect struct {
	To       target.ID
	Key      flow.Key
	Admitted bool
}

// ReleaseEffect sends a ReleaseMsg to a peer.
type ReleaseEffect struct {
	To  target.ID
	Key flow.Key
}

// LoadEffect reports this target's load to its peers.
type LoadEffect struct {
	Active uint32
	Limit  uint32
}

// RequestTableEffect asks the balancer for newer state to build the routing
// table from.
type RequestTableEffect struct{}
