package director

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
)

// Effect is anything that the runtime does on behalf of Model.Update. Data
// may alias the data of the message.
type Effect any

// DeliverEffect sends a packet to an agent. Offer is set when another agent may hold
// the flow; agents treat both cases alike.
type DeliverEffect struct {
	To      netip.AddrPort
	Service string
	Offer   bool
	// Class is the class of the route's requests. It is sent along if Classified is set.
	Class      routing.Class
	Classified bool
	Data       []byte
}

// ResetEffect sends a reset of a flow to its caller.
type ResetEffect struct {
	Tuple flow.Tuple
	// Sequence is the latest acknowledgement number that the caller sent.
	Sequence uint32
	Cause    ResetCause
	// Agents is the number of agents in the lookup, or of those that refused a new flow.
	Agents int
}

// ResetCause says why a flow was reset or refused.
type ResetCause string

// The causes of a reset.
const (
	CauseNoRoute     ResetCause = "no route"
	CauseNoTarget    ResetCause = "no target takes the flow"
	CauseNotHeld     ResetCause = "no target holds the flow"
	CauseDomainLost  ResetCause = "the failure domain that held the flow is lost"
	CauseServerEnded ResetCause = "the backend server that held the flow has ended"
)

// QueryEffect asks an agent which of the flows it holds.
type QueryEffect struct {
	To    netip.AddrPort
	Flows []holder.QueriedFlow
}

// HintsEffect sends an agent that has just started the flows that its backend server holds.
type HintsEffect struct {
	To    netip.AddrPort
	Flows []holder.QueriedFlow
	// BackendIncarnation is the incarnation that holds the flows; zero is unknown.
	BackendIncarnation uint64
	// Handover is set if an earlier process of the agent has handed the flows over.
	Handover bool
}

// ReportRequestEffect requests an agent's reports, and sends it the declared state of
// its service.
type ReportRequestEffect struct {
	To      netip.AddrPort
	Service string
	// Costs has the costs of the service's routes at a target of mean speed.
	Costs []cost.RouteCost
	// WithLoad asks for reports with load and failures. It is never set unless
	// Config.LoadAware is.
	WithLoad bool
}

// ListEffect requests a fresh list of all registered agents.
type ListEffect struct{}

// LogEffect writes a line to the log, about a flow or a change of what the balancer
// knows.
type LogEffect struct {
	Event string
	Flow  flow.Tuple
	// Member is the name of an agent or a failure domain.
	Member string
	// Count is the number of flows or agents concerned, or the version of a
	// configuration.
	Count int
}
