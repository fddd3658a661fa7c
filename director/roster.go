package director

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/zeebo/xxh3"
)

// report takes what an agent says of itself.
func (m *Model) report(now time.Time, x ReportMsg) {
	k := m.members[x.Member.Name]
	if k != nil && !k.supersedes(now, x.Member) {
		return
	}
	if x.Availability == holder.AvailabilityEnded {
		m.end(now, k, x.Member)
		return
	}
	if e, ok := m.ended[x.Member.Name]; ok && e.incarnation == x.Member.Incarnation {
		return
	}
	if k == nil || k.Address != x.Member.Address || k.Service != x.Member.Service {
		k = m.add(x.Member)
	}
	m.noteChange(k, x)
	m.learn(now, k, x)
	if x.ConfigVersion == 0 && m.declared != nil {
		// The agent cannot read it; it hears of it with the question.
		m.solicit(now, k)
	}
}

// learn takes a newer report of a known agent.
func (m *Model) learn(now time.Time, k *member, x ReportMsg) {
	if !k.heard.IsZero() && k.Incarnation != x.Member.Incarnation {
		k.stopped = k.report.Stopping
	}
	k.since = now.Add(-x.Uptime)
	if x.BackendIncarnation != 0 {
		if k.life != 0 && x.BackendIncarnation != k.life {
			m.verifyMember(k)
		}
		k.life = x.BackendIncarnation
	}
	k.Member = x.Member
	k.report = x.Report
	k.heard = now
	k.met(now)
	k.placed = 0
}

// noteChange logs what a report changes.
func (m *Model) noteChange(k *member, x ReportMsg) {
	if k.heard.IsZero() || k.Incarnation != x.Member.Incarnation || k.report.Availability != x.Availability {
		m.emit(LogEffect{
			Event:  "agent is " + x.Availability.String(),
			Member: x.Member.Name,
			Count:  int(x.Flows),
		})
	}
}

// ending is an agent that has said that it ends.
type ending struct {
	incarnation uint64
	at          time.Time
}

// endingMemory is longer than a list of agents may be old.
const endingMemory = 15 * time.Second

// end forgets an agent whose backend server has ended before it: searches need
// no answer from it.
func (m *Model) end(now time.Time, k *member, x Member) {
	m.ended[x.Name] = ending{
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
	m.remove(k)
	for _, l := range slices.Clone(m.searching) {
		if m.lookups[l.segment.Tuple] == l {
			m.dropGone(l)
			m.conclude(now, l)
		}
	}
}

// add makes an agent known, in the place of any other at its address.
func (m *Model) add(x Member) *member {
	if k := m.members[x.Name]; k != nil {
		m.remove(k)
	}
	if k := m.byAddr[x.Address]; k != nil {
		m.remove(k)
	}
	k := &member{
		Member: x,
		rank:   xxh3.HashString(m.config.Name + "/" + x.Name),
	}
	m.members[x.Name] = k
	m.byAddr[x.Address] = k
	m.services[x.Service] = insertByName(m.services[x.Service], k)
	m.order = insertByName(m.order, k)
	m.changed = true
	return k
}

func insertByName(l []*member, k *member) []*member {
	i, _ := slices.BinarySearchFunc(l, k, func(a, b *member) int {
		return strings.Compare(a.Name, b.Name)
	})
	return slices.Insert(l, i, k)
}

func (m *Model) remove(k *member) {
	delete(m.members, k.Name)
	delete(m.byAddr, k.Address)
	same := func(x *member) bool { return x == k }
	m.services[k.Service] = slices.DeleteFunc(m.services[k.Service], same)
	m.order = slices.DeleteFunc(m.order, same)
	m.changed = true
	for t, h := range m.hints {
		if h.member == k {
			delete(m.hints, t)
		}
	}
}

// list takes the registered agents. Searches that waited for the list go on,
// with the agents that it brought.
func (m *Model) list(now time.Time, x MembersMsg) {
	m.unlist(x.MemberChanges)
	introduced := 0
	for _, y := range x.Listed {
		if _, ok := m.ended[y.Name]; ok && x.Full {
			continue
		}
		k := m.members[y.Name]
		if k == nil || (k.heard.IsZero() && (k.Address != y.Address || k.Service != y.Service)) {
			if o := m.byAddr[y.Address]; o != nil && !o.heard.IsZero() {
				continue
			}
			k = m.add(y)
			if introduced < maxIntroductions {
				introduced++
				m.solicit(now, k)
			}
		}
		k.listed = true
	}
	m.questionUnlisted(now)
	if x.RequestedAt.After(m.listedAt) {
		m.listedAt = x.RequestedAt
	}
	m.sweepMembers(now)
	for _, l := range slices.Clone(m.searching) {
		if m.lookups[l.segment.Tuple] != l {
			continue
		}
		m.widen(now, m.declared.Routes[routing.AddressOf(l.segment.Tuple)], l)
		m.conclude(now, l)
	}
}

// unlist notes which agents are registered no more.
func (m *Model) unlist(c MemberChanges) {
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

// sweepMembers forgets silent agents that are not registered any more.
func (m *Model) sweepMembers(now time.Time) {
	for n, e := range m.ended {
		if now.Sub(e.at) > endingMemory {
			delete(m.ended, n)
		}
	}
	for _, k := range slices.Clone(m.order) {
		if !k.listed && k.silence(now) > unlistedLimit && !m.listedAt.IsZero() {
			m.emit(LogEffect{
				Event:  "agent is forgotten",
				Member: k.Name,
			})
			m.remove(k)
		}
	}
}
