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

// RejectMsg is a packet that an agent returned.
type RejectMsg struct {
	From    netip.AddrPort
	Reason  holder.RejectReason
	Segment segment.Segment
	Data    []byte
}

// ReportMsg is what an agent says of itself and its target.
type ReportMsg struct {
	Member Member
	holder.Report
}

// ReplyMsg says which of the flows that were asked for an agent holds.
type ReplyMsg struct {
	From   netip.AddrPort
	Held   []flow.Tuple
	Unheld []flow.Tuple
	Unsure []flow.Tuple
}

// ConfigMsg is an accepted configuration. An older one than that in force is
// ignored.
type ConfigMsg struct {
	Config *routing.Config
}

// DomainsMsg lists the failure domains that operators have taken out.
type DomainsMsg struct {
	OutOfService []string
	Revision     uint64
}

// MembersMsg is what has changed in the list of registered agents, asked for at a
// time; a list that was passed on by another balancer has none.
type MembersMsg struct {
	MemberChanges
	RequestedAt time.Time
}

// MemberChanges are changes of the list of registered agents.
type MemberChanges struct {
	// Full is set when Listed has all of them.
	Full    bool     `json:"full"`
	Listed  []Member `json:"listed"`
	Removed []string `json:"gone"`
}

// ResumedMsg says that the process stood still for a while.
type ResumedMsg struct{}

// FlushMsg sends collected queries.
type FlushMsg struct{}

// TickMsg drives timeouts.
type TickMsg struct{}
