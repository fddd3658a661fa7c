package director

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// Msg is anything that Model.Update takes.
type Msg any

// PacketMsg is a caller's packet from the fabric. Data is only valid during the
// update.
type PacketMsg struct {
	Segment segment.Segment
	Data    []byte
}

// RejectMsg is a packet that an agent has returned.
type RejectMsg struct {
	From    netip.AddrPort
	Reason  holder.RejectReason
	Segment segment.Segment
	Data    []byte
}

// ReportMsg is an agent's report of the state and load of itself and its target.
type ReportMsg struct {
	Member Member
	holder.Report
}

// ReplyMsg is an agent's reply to a query: the flows that its backend server holds,
// those that it does not hold, and those of which the agent does not know this. Agents
// also send it without a query, to confirm flows that it holds. BackendIncarnation is the
// incarnation that is known to hold the flows in Held, or zero. Offers has, for flows in
// Unheld and Unsure, the number of packets that were offered to the backend server, by any
// balancer.
type ReplyMsg struct {
	From   netip.AddrPort
	Held   []flow.Tuple
	Unheld []flow.Tuple
	Unsure []flow.Tuple
	Offers map[flow.Tuple]uint8

	BackendIncarnation uint64
}

// ConfigCheckMsg has the version of the configuration that an agent knows.
type ConfigCheckMsg struct {
	From    netip.AddrPort
	Version uint64
}

// ConfigMsg is an accepted configuration. It is ignored when it is not newer than the
// one in force.
type ConfigMsg struct {
	Config *routing.Config
	// Source names where the configuration was read, for the log.
	Source string
}

// DomainsMsg lists the failure domains that operators have taken out of service.
type DomainsMsg struct {
	OutOfService []string
	Revision     uint64
}

// MembersMsg brings changes of the list of registered agents. RequestedAt is zero for
// changes that were passed on by another balancer.
type MembersMsg struct {
	MemberChanges
	RequestedAt time.Time
}

// MemberChanges are changes of the list of registered agents: those that were added
// or changed, and the names of those that were removed.
type MemberChanges struct {
	// Full is set when Listed has all registered agents.
	Full    bool     `json:"full"`
	Listed  []Member `json:"listed"`
	Removed []string `json:"gone"`
}

// ResumedMsg says that the process was paused for a while.
type ResumedMsg struct{}

// FlushMsg makes the model send the collected queries.
type FlushMsg struct{}

// TickMsg drives timeouts.
type TickMsg struct{}
