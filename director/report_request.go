package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/holder"
)

// A balancer subscribes to the reports of the agents among which it chooses targets,
// and of a few sentinels, which show whether it is cut off itself. It needs no reports
// of other agents. So its control traffic grows with the services for which it opens
// flows, and not with the size of the region. When load-aware, the reports of sentinels have
// no load and no failures, and requests to them carry no costs: with three routes, sentinels
// took 2 KB/s and a balancer of the largest region exceeded its limit of 3 KB/s.

const (
	// localSentinels and remoteSentinels are the numbers of sentinels in the balancer's
	// failure domain and in others: 3 reports of some 120 bytes twice a second are
	// 0.7 KB/s.
	localSentinels  = 2
	remoteSentinels = 1
	// renewLead is the time before the end of a lease at which it is renewed.
	renewLead = 700 * time.Millisecond
	// minReportRequestInterval is the least time between two requests to one agent.
	minReportRequestInterval = 300 * time.Millisecond
	// staleReportAge is the age above which a report is too old for a choice.
	staleReportAge = 650 * time.Millisecond
	// maxReportRequests is the maximum number of report requests for one choice.
	maxReportRequests = 4
	// maxNewAgentRequests is the maximum number of new agents of one list whose reports
	// are requested at once.
	maxNewAgentRequests = 64
)

// requestReport requests the reports of an agent, with load if load-aware, unless it has just
// done so.
func (m *Model) requestReport(now time.Time, agent *member) {
	if !m.mayRequestReport(now, agent) {
		return
	}
	agent.loadRequestedAt = now
	m.sendReportRequest(now, agent, ReportRequestEffect{
		Costs:    m.costsFor(now, agent),
		WithLoad: m.config.LoadAware,
	})
	agent.subscribeToLoad(now)
}

// mayRequestReport reports whether no request of the same kind was just made. One without load
// does not delay one with load.
func (m *Model) mayRequestReport(now time.Time, agent *member) bool {
	last := agent.reportRequestedAt
	if m.config.LoadAware {
		last = agent.loadRequestedAt
	}
	return now.Sub(last) >= minReportRequestInterval
}

// requestState requests reports that only show whether an agent runs and is available, unless
// any were just requested.
func (m *Model) requestState(now time.Time, agent *member) {
	if now.Sub(agent.reportRequestedAt) >= minReportRequestInterval {
		m.sendReportRequest(now, agent, ReportRequestEffect{})
	}
}

func (m *Model) sendReportRequest(now time.Time, agent *member, e ReportRequestEffect) {
	agent.reportRequestedAt = now
	agent.expectReply(now)
	agent.subscribe(now)
	e.To = agent.Address
	e.Service = agent.Service
	m.emit(e)
}

// reportedAt returns when what a choice needs was last reported. An agent that has never sent
// its load, because it is not load-aware yet, must not count as silent.
func (m *Model) reportedAt(agent *member) time.Time {
	if m.config.LoadAware && !agent.lastLoad.IsZero() {
		return agent.lastLoad
	}
	return agent.lastReport
}

// lacksReport reports whether the latest report that has what a choice needs is too old.
func (m *Model) lacksReport(now time.Time, agent *member) bool {
	if m.config.LoadAware {
		return now.Sub(agent.lastLoad) > staleReportAge
	}
	return now.Sub(agent.lastReport) > staleReportAge
}

// noteOpened records that a new flow goes to an agent. The second one within a lease
// makes the agent add this balancer to its subscribers.
func (m *Model) noteOpened(now time.Time, agent *member) {
	if now.Sub(agent.lastOpened) < holder.ReportLease {
		agent.subscribeToLoad(now)
	}
	agent.lastOpened = now
}

// requestMissingReports requests the reports that a choice lacked. The member that it
// starts with depends on seed and so differs between flows. Members of other failure
// domains are asked only when the balancer's own is crowded.
func (m *Model) requestMissingReports(now time.Time, l []*member, seed uint64, crowded bool) {
	requested := 0
	for i := range l {
		agent := l[(int(seed%uint64(len(l)))+i)%len(l)]
		if requested == maxReportRequests {
			return
		}
		near := agent.Domain == m.config.Domain
		if m.lacksReport(now, agent) && (near || crowded) && m.mayRequestReport(now, agent) {
			requested++
			m.requestReport(now, agent)
		}
	}
}

// tickSentinels renews the subscriptions to the sentinels before their leases end. Sentinels to
// which this balancer has just sent new flows are also asked for load, and sent costs.
func (m *Model) tickSentinels(now time.Time) {
	if m.membersChanged {
		m.membersChanged = false
		m.chooseSentinels()
	}
	for _, agent := range m.sentinels {
		switch {
		case agent.subscribedUntil.Sub(now) >= renewLead:
		case now.Sub(agent.lastOpened) < holder.ReportLease:
			m.requestReport(now, agent)
		default:
			m.requestState(now, agent)
		}
	}
}

// chooseSentinels picks the agents with the lowest ranks as sentinels. Ranks differ
// between balancers.
func (m *Model) chooseSentinels() {
	var near, far []*member
	for _, agent := range m.sortedMembers {
		if agent.Domain == m.config.Domain {
			near = keepLowest(near, agent, localSentinels)
		} else {
			far = keepLowest(far, agent, remoteSentinels)
		}
	}
	m.sentinels = slices.Concat(near, far)
}

// keepLowest inserts a member by its rank into a list of at most n.
func keepLowest(l []*member, x *member, n int) []*member {
	i, _ := slices.BinarySearchFunc(l, x, func(a, b *member) int { return cmp.Compare(a.rank, b.rank) })
	if i == n {
		return l
	}
	l = slices.Insert(l, i, x)
	return l[:min(len(l), n)]
}

// requestUnlisted requests reports of agents that are not listed, to learn whether
// they still run.
func (m *Model) requestUnlisted(now time.Time) {
	for _, agent := range m.sortedMembers {
		if !agent.listed && !now.Before(agent.subscribedUntil) {
			m.requestState(now, agent)
		}
	}
}
