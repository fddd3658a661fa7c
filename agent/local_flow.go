package agent

import "time"

// flowState is the state of a local flow.
type flowState uint8

const (
	// flowReserved means that the flow was admitted and that its home has yet to
	// forward its first packet.
	flowReserved flowState = iota + 1
	// flowOpen means that the TCP stack handles the flow.
	flowOpen
	// flowClosing means that the flow has ended; late packets still reach the stack.
	flowClosing
)

// localFlow is a flow that the backend server of this agent holds.
type localFlow struct {
	state flowState
	// established is set once the caller has completed the handshake. This can
	// happen at one target only, whatever packets the network repeats.
	established bool
	// expires is when a reservation or a closing flow is removed.
	expires time.Time
}
