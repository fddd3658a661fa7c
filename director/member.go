package director

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
)

// Member names one agent and the target beside it.
type Member struct {
	Name    string
	Address netip.AddrPort
	Service string
	Domain  string
	// Incarnation names one life of the agent; later lives are mostly higher.
	Incarnation uint64
	// Sequence orders the reports of one life.
	Sequence uint64
}

// member is what a balancer knows about an agent.
type member struct {
	Member
	report holder.Report
	// since is when this life of the agent began.
	since time.Time
	// life is the last known life of the backend server.
	life uint64
	// heard is when the latest report came; zero if none has.
	heard time.Time
	// known is when this balancer first knew of the agent.
	known time.Time
	// listed is set while the agent is in the newest list.
	listed bool
	// placed counts the flows given since the latest report.
	placed uint32
	// queries are collected until the next flush.
	queries []holder.Probe
}

const (
	// lifeTakeover is the silence after which a report of another life is
	// believed though its number is lower: the time of day may have jumped back.
	lifeTakeover = 600 * time.Millisecond
	// unlistedLimit is the silence after which an agent that is not listed is
	// forgotten.
	unlistedLimit = 5 * time.Second
)

// supersedes reports whether a message of x is newer than what is known.
func (m *member) supersedes(now time.Time, x Member) bool {
	if x.Incarnation == m.Incarnation {
		return x.Sequence > m.Sequence
	}
	return x.Incarnation > m.Incarnation || now.Sub(m.heard) > lifeTakeover
}

// silence is how long an agent was not heard.
func (m *member) silence(now time.Time) time.Duration {
	if m.heard.IsZero() {
		return now.Sub(m.known)
	}
	return now.Sub(m.heard)
}

// open reports whether a member takes new flows as far as is known. An agent
// that was not heard yet may.
func (m *member) open() bool {
	return m.heard.IsZero() || m.report.Availability == holder.AvailabilityOpen
}

// candidate returns the member as the choice of a target sees it.
func (m *member) candidate(now time.Time, domain string) placement.Member {
	silence := now.Sub(m.heard)
	if m.heard.IsZero() {
		silence = time.Hour
	}
	return placement.Member{
		Local:  m.Domain == domain,
		Slots:  m.report.Slots,
		Busy:   m.report.Busy,
		Flows:  m.report.Flows,
		Placed: m.placed,
		Cold:   m.report.Cold > 0,
		Heard:  silence,
	}
}
