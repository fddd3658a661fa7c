package agent

import "time"

// flowState is the place of a local flow in its life.
type flowState uint8

const (
	// flowReserved is a flow whose first packet is on its way from its home.
	flowReserved flowState = iota + 1
	// flowOpen is a flow that the TCP stack handles.
	flowOpen
	// flowClosing is a flow that has ended; late packets still reach the stack.
	flowClosing
)

// localFlow is a flow that the backend server of this agent holds.
type localFlow struct {
	state flowState
	// established is set once the caller has completed the handshake. Only one
	// target can have that, whatever the network repeated.
	established bool
	// expires ends a reservation or a closing flow.
	expires time.Time
}
