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
	// stopped is set when the life of the agent before this one was asked to stop.
	stopped bool
	// life is the last known life of the backend server.
	life uint64
	// heard is when the latest report came, and contact when the latest datagram of
	// any kind did; zero if none has.
	heard   time.Time
	contact time.Time
	// asked is the first question since the latest contact; zero if there is none.
	asked time.Time
	// solicited is the latest time of asking for a report, and opened that of
	// sending a new flow.
	solicited time.Time
	opened    time.Time
	// follows is until when the agent reports by itself.
	follows time.Time
	// listed is set while the agent is in the newest list.
	listed bool
	// placed counts the flows given since the latest report.
	placed uint32
	// rank orders members in another way for each balancer.
	rank uint64
	// queries are collected until the next flush.
	queries []holder.QueriedFlow
}

const (
	// lifeTakeover is the silence after which a report of another life is
	// believed though its number is lower: the time of day may have jumped back.
	lifeTakeover = 600 * time.Millisecond
	// reportSlack is the time between two reports, and the delay of one.
	reportSlack = holder.ReportPeriod + 200*time.Millisecond
	// leaseMargin lets a lease end at the agent first, which then reports at once
	// when it begins again.
	leaseMargin = 100 * time.Millisecond
	// answerLimit is longer than an agent that has just started leaves questions
	// unanswered.
	answerLimit = 400 * time.Millisecond
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

// met notes a datagram of the agent.
func (m *member) met(now time.Time) {
	m.contact = now
	m.asked = time.Time{}
}

// ask notes a question that the agent answers at once.
func (m *member) ask(now time.Time) {
	if m.asked.IsZero() {
		m.asked = now.Add(-m.silence(now))
	}
}

// follow notes that the agent reports by itself from now on, beginning at once.
func (m *member) follow(now time.Time) {
	if now.After(m.follows) {
		m.ask(now)
	}
	m.follows = now.Add(holder.ReportLease + leaseMargin)
}

// silence is how long an agent has not been heard that should have been: since the
// first question that it has not answered, or since a report that was due. An agent
// that has no reason to speak is not silent.
func (m *member) silence(now time.Time) time.Duration {
	switch {
	case !m.asked.IsZero():
		return now.Sub(m.asked)
	case m.contact.IsZero():
		return 0
	case now.Before(m.follows), m.follows.Sub(m.contact) > reportSlack:
		return now.Sub(m.contact)
	}
	return 0
}

// missing reports whether an answer of the agent is no longer to be expected soon.
func (m *member) missing(now time.Time) bool {
	if !m.asked.IsZero() {
		return now.Sub(m.asked) > answerLimit
	}
	return m.silence(now) > heardLimit
}

// open reports whether a member takes new flows as far as is known. An agent
// that was not heard yet may.
func (m *member) open() bool {
	return m.heard.IsZero() || m.report.Availability == holder.AvailabilityOpen
}

// candidate returns the member as the choice of a target sees it.
func (m *member) candidate(now time.Time, domain string) placement.Candidate {
	silence := now.Sub(m.heard)
	if m.heard.IsZero() {
		silence = time.Hour
	}
	return placement.Candidate{
		Local:   m.Domain == domain,
		Slots:   m.report.Slots,
		Busy:    m.report.Busy,
		Flows:   m.report.Flows,
		Placed:  m.placed,
		Cold:    m.report.ColdFor > 0,
		Silence: silence,
	}
}
