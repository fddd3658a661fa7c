package director

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/zeebo/xxh3"
)

// handleReport applies the report of an agent, unless it is stale.
func (m *Model) handleReport(now time.Time, msg ReportMsg) {
	agent := m.members[msg.Member.Name]
	if agent != nil && !agent.supersedes(now, msg.Member) {
		return
	}
	if msg.Availability == holder.AvailabilityEnded {
		m.handleEnded(now, agent, msg.Member)
		return
	}
	if e, ok := m.ended[msg.Member.Name]; ok && e.incarnation == msg.Member.Incarnation {
		return
	}
	if agent == nil || agent.Address != msg.Member.Address || agent.Service != msg.Member.Service {
		agent = m.addMember(msg.Member)
	}
	m.logChange(agent, msg)
	m.applyReport(now, agent, msg)
	m.updateConfigOf(now, agent, msg.ConfigVersion)
}

// handleConfigCheck sends an agent the configuration if it knows an earlier one.
func (m *Model) handleConfigCheck(now time.Time, msg ConfigCheckMsg) {
	if agent := m.membersByAddress[msg.From]; agent != nil {
		agent.received(now)
		m.updateConfigOf(now, agent, msg.Version)
	}
}

// updateConfigOf sends an agent the configuration, which comes with a report request, if the
// version that it knows is an earlier one.
func (m *Model) updateConfigOf(now time.Time, agent *member, version uint64) {
	if m.declared != nil && version < uint64(m.declared.Version) {
		m.requestReport(now, agent)
	}
}

// applyReport applies a newer report of a known agent.
func (m *Model) applyReport(now time.Time, agent *member, msg ReportMsg) {
	if !agent.lastReport.IsZero() && agent.Incarnation != msg.Member.Incarnation {
		agent.plannedRestart = agent.report.Stopping
	}
	// This balancer may have been away when the previous process was asked to stop.
	agent.plannedRestart = agent.plannedRestart || msg.PlannedRestart
	if agent.Incarnation != msg.Member.Incarnation {
		agent.hintReports = 0
	}
	agent.startedAt = now.Add(-msg.Uptime)
	if msg.BackendIncarnation != 0 {
		if agent.backendIncarnation != 0 && msg.BackendIncarnation != agent.backendIncarnation {
			m.endFlowsOf(agent, msg.BackendIncarnation)
		}
		agent.backendIncarnation = msg.BackendIncarnation
		agent.reportedIncarnation = msg.BackendIncarnation
	}
	restarted := agent.Incarnation != msg.Member.Incarnation
	if m.config.LoadAware {
		agent.keepLoad(now, &msg, restarted)
	}
	agent.Member = msg.Member
	agent.report = msg.Report
	agent.lastReport = now
	agent.received(now)
	agent.placed = 0
	if m.config.LoadAware && (msg.HasLoad || restarted) {
		m.updateFailing(now, agent)
		agent.backlog.SetReport(now, msg.Load, msg.Slots)
		m.sendLengths(now, agent)
	}
	m.sendHints(now, agent)
}

// keepLoad gives a report that has no load and failures the latest ones of the agent, and
// otherwise records when they came. An agent that has restarted has lost its estimates: it has
// neither until it reports them.
func (m *member) keepLoad(now time.Time, msg *ReportMsg, restarted bool) {
	switch {
	case msg.HasLoad:
		m.lastLoad = now
	case restarted:
		m.lastLoad = time.Time{}
	default:
		msg.Load = m.report.Load
		msg.Failures = m.report.Failures
	}
}

// logChange logs a change of an agent's incarnation or availability.
func (m *Model) logChange(agent *member, msg ReportMsg) {
	if agent.lastReport.IsZero() || agent.Incarnation != msg.Member.Incarnation || agent.report.Availability != msg.Availability {
		m.emit(LogEffect{
			Event:  "agent reports its availability as " + msg.Availability.String(),
			Member: msg.Member.Name,
			Count:  int(msg.Flows),
		})
	}
}

// endedAgent is an agent that has reported its end.
type endedAgent struct {
	incarnation uint64
	at          time.Time
}

// endedRetention is the time for which the end of an agent is kept: longer than a list
// of agents can be out of date.
const endedRetention = 15 * time.Second

// handleEnded removes an agent that has ended after its backend server, and resets the
// flows that it has confirmed. Lookups need no reply from it.
func (m *Model) handleEnded(now time.Time, agent *member, x Member) {
	m.ended[x.Name] = endedAgent{
		incarnation: x.Incarnation,
		at:          now,
	}
	if agent == nil {
		return
	}
	m.emit(LogEffect{
		Event:  "agent has ended",
		Member: x.Name,
	})
	m.endFlowsOf(agent, math.MaxUint64)
	agent.reportedIncarnation = math.MaxUint64
	m.removeMember(agent)
	for _, l := range slices.Clone(m.activeLookups) {
		if m.lookups[l.segment.Tuple] == l {
			m.dropRemoved(l)
			m.conclude(now, l)
		}
	}
}

// addMember adds an agent and removes any other with its name or address.
func (m *Model) addMember(x Member) *member {
	if k := m.members[x.Name]; k != nil {
		m.removeMember(k)
	}
	if k := m.membersByAddress[x.Address]; k != nil {
		m.removeMember(k)
	}
	k := &member{
		Member: x,
		key:    xxh3.HashString(x.Name),
		rank:   xxh3.HashString(m.config.Name + "/" + x.Name),
	}
	m.members[x.Name] = k
	m.membersByAddress[x.Address] = k
	m.membersByService[x.Service] = insertByName(m.membersByService[x.Service], k)
	m.sortedMembers = insertByName(m.sortedMembers, k)
	m.membersChanged = true
	return k
}

func insertByName(l []*member, k *member) []*member {
	i, _ := slices.BinarySearchFunc(l, k, func(a, b *member) int {
		return strings.Compare(a.Name, b.Name)
	})
	return slices.Insert(l, i, k)
}

func (m *Model) removeMember(agent *member) {
	delete(m.members, agent.Name)
	delete(m.membersByAddress, agent.Address)
	same := func(x *member) bool { return x == agent }
	m.membersByService[agent.Service] = slices.DeleteFunc(m.membersByService[agent.Service], same)
	m.sortedMembers = slices.DeleteFunc(m.sortedMembers, same)
	m.membersChanged = true
	for t, h := range m.hints {
		if h.member == agent && !h.ended() {
			delete(m.hints, t)
		}
	}
}

// handleMembers applies changes of the list of registered agents, and continues all
// lookups with the agents that were added.
func (m *Model) handleMembers(now time.Time, msg MembersMsg) {
	m.markUnlisted(msg.MemberChanges)
	requested := 0
	for _, entry := range msg.Listed {
		if _, ok := m.ended[entry.Name]; ok && msg.Full {
			continue
		}
		agent := m.members[entry.Name]
		if agent == nil || (agent.lastReport.IsZero() && (agent.Address != entry.Address || agent.Service != entry.Service)) {
			if other := m.membersByAddress[entry.Address]; other != nil && !other.lastReport.IsZero() {
				continue
			}
			agent = m.addMember(entry)
			if requested < maxNewAgentRequests {
				requested++
				m.requestReport(now, agent)
			}
		}
		agent.listed = true
	}
	m.requestUnlisted(now)
	if msg.RequestedAt.After(m.listedAt) {
		m.listedAt = msg.RequestedAt
	}
	m.sweepMembers(now)
	for _, l := range slices.Clone(m.activeLookups) {
		if m.lookups[l.segment.Tuple] != l {
			continue
		}
		m.queryScope(now, m.declared.Routes[routing.AddressOf(l.segment.Tuple)], l)
		m.conclude(now, l)
	}
}

// markUnlisted marks the agents that are no longer registered.
func (m *Model) markUnlisted(c MemberChanges) {
	if c.Full {
		for _, agent := range m.members {
			agent.listed = false
		}
	}
	for _, n := range c.Removed {
		if agent := m.members[n]; agent != nil {
			agent.listed = false
		}
	}
}

// sweepMembers removes silent agents that are no longer registered.
func (m *Model) sweepMembers(now time.Time) {
	for n, e := range m.ended {
		if now.Sub(e.at) > endedRetention {
			delete(m.ended, n)
		}
	}
	for _, agent := range slices.Clone(m.sortedMembers) {
		if !agent.listed && agent.silence(now) > unlistedTimeout && !m.listedAt.IsZero() {
			m.emit(LogEffect{
				Event:  "agent is silent and not registered; it is removed",
				Member: agent.Name,
			})
			m.removeMember(agent)
		}
	}
}
