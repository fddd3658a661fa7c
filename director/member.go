package director

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
)

// Member identifies one agent and the target beside it.
type Member struct {
	Name    string
	Address netip.AddrPort
	Service string
	Domain  string
	// Incarnation identifies one run of the agent. It is higher for later runs,
	// unless the time of day has jumped back.
	Incarnation uint64
	// Sequence orders the reports of one incarnation.
	Sequence uint64
}

// member is what a balancer knows about an agent.
type member struct {
	Member
	report holder.Report
	// startedAt is when this incarnation of the agent started.
	startedAt time.Time
	// plannedRestart is set when the agent's previous incarnation was asked to stop.
	plannedRestart bool
	// backendIncarnation is the last known incarnation of the backend server, also from
	// saved hints, and reportedIncarnation the last one that the agent reported.
	backendIncarnation  uint64
	reportedIncarnation uint64
	// lastReport is when the latest report was received, and lastReceived when the
	// latest datagram of any kind was; zero if none was.
	lastReport   time.Time
	lastReceived time.Time
	// lastLoad is when the latest report with load and failures was received; zero if none
	// was. Those of report are of this time.
	lastLoad time.Time
	// unansweredSince is when the agent's silence began, set by the first query or
	// request since lastReceived; zero if there was none.
	unansweredSince time.Time
	// lastExpected is when a reply was last expected, and queriedAgainAt when that began
	// again after a pause of queryPause.
	lastExpected   time.Time
	queriedAgainAt time.Time
	// reportRequestedAt is when a report was last requested, and lastOpened when a new
	// flow was last sent.
	reportRequestedAt time.Time
	lastOpened        time.Time
	// loadRequestedAt is when a report with load was last requested.
	loadRequestedAt time.Time
	// subscribedUntil is until when this balancer is a subscriber of the agent, which
	// reports to it without a request.
	subscribedUntil time.Time
	// loadUntil is until when the reports have load and failures, if load-aware.
	loadUntil time.Time
	// costsSentTo is the incarnation that was last sent service-wide costs, and costsSentAt
	// when it was.
	costsSentTo uint64
	costsSentAt time.Time
	// lengthsSentTo has the incarnations that were last sent the length of usual responses.
	lengthsSentTo incarnations
	// hintReports counts the reports of this incarnation of the agent after which it was
	// sent the hints of its flows.
	hintReports int
	// handover has the flows that the agent has handed over, nil for none.
	handover *handover
	// listed is set while the agent is in the newest list of agents.
	listed bool
	// failing is set while the backend server fails requests, and ejected while the target
	// gets no new flows because of that.
	failing bool
	ejected bool
	// worstShare is the highest failure share that was reported while failing is set. The
	// latest one falls while the target is ejected, so with more failing targets than may be
	// ejected, they would be ejected in turn.
	worstShare float64
	// placed counts the new flows sent since the latest report.
	placed uint32
	// backlog estimates the work ahead of a new flow, and full says that the agent has just
	// returned one; both are used only if load-aware.
	backlog placement.Backlog
	full    fullMark
	// key identifies the member in the draw of placement.
	key uint64
	// rank orders members, differently at each balancer.
	rank uint64
	// queries has the flows to query at the next FlushMsg.
	queries []holder.QueriedFlow
}

const (
	// staleIncarnationTimeout is the silence after which a report of another incarnation
	// is accepted though its number is lower: the time of day may have jumped back.
	staleIncarnationTimeout = 600 * time.Millisecond
	// maxReportInterval is the time between two reports plus the delay of one.
	maxReportInterval = holder.ReportInterval + 200*time.Millisecond
	// leaseMargin is how much longer the lease of a subscription lasts here than at the
	// agent, so that an agent whose lease has ended reports at once at the next one.
	leaseMargin = 100 * time.Millisecond
	// replyTimeout is the silence after which an agent that was queried is unresponsive:
	// longer than the time after its start in which it leaves queries unanswered.
	replyTimeout = 400 * time.Millisecond
	// queryPause is the time without a query after which an agent's silence before is not
	// taken for certain: several times the interval at which lookups repeat queries.
	queryPause = 2 * time.Second
	// unlistedTimeout is the silence after which an agent that is not listed is
	// removed.
	unlistedTimeout = 5 * time.Second
)

// supersedes reports whether a report of x is newer than the latest one.
func (m *member) supersedes(now time.Time, x Member) bool {
	if x.Incarnation == m.Incarnation {
		return x.Sequence > m.Sequence
	}
	return x.Incarnation > m.Incarnation || now.Sub(m.lastReport) > staleIncarnationTimeout
}

// received records that a datagram of the agent came.
func (m *member) received(now time.Time) {
	m.lastReceived = now
	m.unansweredSince = time.Time{}
}

// expectReply records a query or request to which the agent replies at once.
func (m *member) expectReply(now time.Time) {
	switch {
	case m.unansweredSince.IsZero():
		m.unansweredSince = now.Add(-m.silence(now))
	case now.Sub(m.lastExpected) > queryPause:
		m.queriedAgainAt = now
	}
	m.lastExpected = now
}

// subscribe records that the agent reports to this balancer from now on, the first
// time at once.
func (m *member) subscribe(now time.Time) {
	if now.After(m.subscribedUntil) {
		m.expectReply(now)
	}
	m.subscribedUntil = now.Add(holder.ReportLease + leaseMargin)
}

// subscribeToLoad records that the agent reports to this balancer from now on, with load and
// failures if load-aware.
func (m *member) subscribeToLoad(now time.Time) {
	m.subscribe(now)
	m.loadUntil = m.subscribedUntil
}

// silence returns how long nothing was received from an agent that should have sent
// something: since the first query that it has not replied to, or since its latest
// datagram when a report is due. It is zero for an agent that has no reason to send. If nothing
// was expected for queryPause, only one datagram may have been lost before, so the agent gets
// replyTimeout for its next reply.
func (m *member) silence(now time.Time) time.Duration {
	switch {
	case !m.unansweredSince.IsZero() && now.Sub(m.queriedAgainAt) < replyTimeout:
		return now.Sub(m.queriedAgainAt)
	case !m.unansweredSince.IsZero():
		return now.Sub(m.unansweredSince)
	case m.lastReceived.IsZero():
		return 0
	case now.Before(m.subscribedUntil), m.subscribedUntil.Sub(m.lastReceived) > maxReportInterval:
		return now.Sub(m.lastReceived)
	}
	return 0
}

// unresponsive reports whether no reply of the agent is to be expected soon.
func (m *member) unresponsive(now time.Time) bool {
	if !m.unansweredSince.IsZero() {
		return now.Sub(m.unansweredSince) > replyTimeout
	}
	return m.silence(now) > silenceTimeout
}

// acceptsFlows reports whether a member takes new flows as far as is known. An agent
// that has not reported yet is assumed to.
func (m *member) acceptsFlows() bool {
	return m.lastReport.IsZero() || m.report.Availability == holder.AvailabilityOpen
}

// candidate returns what the choice of a target needs to know about the member. reportedAt
// is when it last reported that, and domain the balancer's failure domain.
func (m *member) candidate(now, reportedAt time.Time, domain string) placement.Candidate {
	silence := now.Sub(reportedAt)
	if reportedAt.IsZero() {
		silence = time.Hour
	}
	return placement.Candidate{
		Key:     m.key,
		Local:   m.Domain == domain,
		Slots:   m.report.Slots,
		Busy:    m.report.Busy,
		Flows:   m.report.Flows,
		Placed:  m.placed,
		Cold:    m.report.ColdFor > 0,
		Silence: silence,
	}
}
