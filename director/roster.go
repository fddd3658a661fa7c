package director

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/zeebo/xxh3"
)

// handleReport applies the report of an agent, unless it is stale.
func (m *Model) handleReport(now time.Time, x ReportMsg) {
	k := m.members[x.Member.Name]
	if k != nil && !k.supersedes(now, x.Member) {
		return
	}
	if x.Availability == holder.AvailabilityEnded {
		m.handleEnded(now, k, x.Member)
		return
	}
	if e, ok := m.ended[x.Member.Name]; ok && e.incarnation == x.Member.Incarnation {
		return
	}
	if k == nil || k.Address != x.Member.Address || k.Service != x.Member.Service {
		k = m.addMember(x.Member)
	}
	m.logChange(k, x)
	m.applyReport(now, k, x)
	if x.ConfigVersion == 0 && m.declared != nil {
		// The agent cannot read the configuration itself; it comes with the request.
		m.requestReport(now, k)
	}
}

// applyReport applies a newer report of a known agent.
func (m *Model) applyReport(now time.Time, k *member, x ReportMsg) {
	if !k.lastReport.IsZero() && k.Incarnation != x.Member.Incarnation {
		k.plannedRestart = k.report.Stopping
	}
	k.startedAt = now.Add(-x.Uptime)
	if x.BackendIncarnation != 0 {
		if k.backendIncarnation != 0 && x.BackendIncarnation != k.backendIncarnation {
			m.verifyFlowsOf(k)
		}
		k.backendIncarnation = x.BackendIncarnation
	}
	k.Member = x.Member
	k.report = x.Report
	k.lastReport = now
	k.received(now)
	k.placed = 0
}

// logChange logs a change of an agent's incarnation or availability.
func (m *Model) logChange(k *member, x ReportMsg) {
	if k.lastReport.IsZero() || k.Incarnation != x.Member.Incarnation || k.report.Availability != x.Availability {
		m.emit(LogEffect{
			Event:  "agent is " + x.Availability.String(),
			Member: x.Member.Name,
			Count:  int(x.Flows),
		})
	}
}

// endedAgent is an agent that has reported its end.
type endedAgent struct {
	incarnation uint64
	at          time.Time
}

// endedRetention is the time for which the end of an agent is kept: longer than a list
// of agents may be stale.
const endedRetention = 15 * time.Second

// handleEnded removes an agent that has ended after its backend server. Lookups need
// no reply from it.
func (m *Model) handleEnded(now time.Time, k *member, x Member) {
	m.ended[x.Name] = endedAgent{
		incarnation: x.Incarnation,
		at:          now,
	}
	if k == nil {
		return
	}
	m.emit(LogEffect{
		Event:  "agent has ended",
		Member: x.Name,
	})
	m.removeMember(k)
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
	if k := m.byAddr[x.Address]; k != nil {
		m.removeMember(k)
	}
	k := &member{
		Member: x,
		rank:   xxh3.HashString(m.config.Name + "/" + x.Name),
	}
	m.members[x.Name] = k
	m.byAddr[x.Address] = k
	m.services[x.Service] = insertByName(m.services[x.Service], k)
	m.membersByName = insertByName(m.membersByName, k)
	m.membersChanged = true
	return k
}

func insertByName(l []*member, k *member) []*member {
	i, _ := slices.BinarySearchFunc(l, k, func(a, b *member) int {
		return strings.Compare(a.Name, b.Name)
	})
	return slices.Insert(l, i, k)
}

func (m *Model) removeMember(k *member) {
	delete(m.members, k.Name)
	delete(m.byAddr, k.Address)
	same := func(x *member) bool { return x == k }
	m.services[k.Service] = slices.DeleteFunc(m.services[k.Service], same)
	m.membersByName = slices.DeleteFunc(m.membersByName, same)
	m.membersChanged = true
	for t, h := range m.hints {
		if h.member == k {
			delete(m.hints, t)
		}
	}
}

// handleMembers applies changes of the list of registered agents, and continues all
// lookups with the agents that were added.
func (m *Model) handleMembers(now time.Time, x MembersMsg) {
	m.markUnlisted(x.MemberChanges)
	introduced := 0
	for _, y := range x.Listed {
		if _, ok := m.ended[y.Name]; ok && x.Full {
			continue
		}
		k := m.members[y.Name]
		if k == nil || (k.lastReport.IsZero() && (k.Address != y.Address || k.Service != y.Service)) {
			if o := m.byAddr[y.Address]; o != nil && !o.lastReport.IsZero() {
				continue
			}
			k = m.addMember(y)
			if introduced < maxNewAgentRequests {
				introduced++
				m.requestReport(now, k)
			}
		}
		k.listed = true
	}
	m.requestUnlisted(now)
	if x.RequestedAt.After(m.listedAt) {
		m.listedAt = x.RequestedAt
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
		for _, k := range m.members {
			k.listed = false
		}
	}
	for _, n := range c.Removed {
		if k := m.members[n]; k != nil {
			k.listed = false
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
	for _, k := range slices.Clone(m.membersByName) {
		if !k.listed && k.silence(now) > unlistedTimeout && !m.listedAt.IsZero() {
			m.emit(LogEffect{
				Event:  "agent is neither registered nor answering; it is removed",
				Member: k.Name,
			})
			m.removeMember(k)
		}
	}
}
