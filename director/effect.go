package director

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
)

// Effect is anything that the runtime does on behalf of Model.Update. Data
// may alias the data of the message.
type Effect any

// DeliverEffect sends a packet to an agent. Offer is set when the flow may live
// elsewhere; agents treat both alike.
type DeliverEffect struct {
	To      netip.AddrPort
	Service string
	Offer   bool
	Data    []byte
}

// ResetEffect ends a flow towards its caller.
type ResetEffect struct {
	Tuple flow.Tuple
	// Sequence is the caller's newest acknowledgement.
	Sequence uint32
	Cause    ResetCause
	// Agents is the number of agents whose answers decided it.
	Agents int
}

// ResetCause says why a flow was reset or refused.
type ResetCause string

// The causes of a reset.
const (
	CauseNoRoute  ResetCause = "no route"
	CauseNoTarget ResetCause = "no target takes the flow"
	CauseNotHeld  ResetCause = "no target holds the flow"
)

// QueryEffect asks an agent which flows it holds.
type QueryEffect struct {
	To    netip.AddrPort
	Flows []holder.QueriedFlow
}

// ReportRequestEffect asks an agent for its report, and tells it what is declared about its
// service.
type ReportRequestEffect struct {
	To      netip.AddrPort
	Service string
}

// ListEffect asks for a fresh list of all registered agents.
type ListEffect struct{}

// LogEffect is a line for the log about a flow or about what the balancer
// believes now.
type LogEffect struct {
	Event  string
	Flow   flow.Tuple
	Member string
	Count  int
}
