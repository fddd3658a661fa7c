package director

import (
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

const (
	// maxPlacements bounds the agents asked to take one new flow.
	maxPlacements = 4
	// quietLimit is the silence after which the copy of a first packet goes to
	// another agent: a little more than the time between two reports.
	quietLimit = 650 * time.Millisecond
	// placeSalt keeps the choice of a target apart from other uses of the hash.
	placeSalt = 0x71ace
	// startGrace is the time after the start in which agents may not have been
	// heard yet; new flows wait for the caller's next copy.
	startGrace = 1500 * time.Millisecond
)

// open decides about the first packet of a flow, or a copy of it.
func (m *Model) open(now time.Time, s segment.Segment, data []byte) {
	r, ok := m.declared.Routes[routing.AddressOf(s.Tuple)]
	if !ok {
		m.reset(s, CauseNoRoute, 0)
		return
	}
	h := m.hints[s.Tuple]
	if h == nil || h.first != s.Sequence {
		h = &hint{
			first: s.Sequence,
		}
	}
	h.used = now
	if h.member != nil && m.mayKeep(now, h.member) {
		m.opens(now, h.member)
		m.send(h.member, data, false)
		return
	}
	m.place(now, r, h, s, data)
}

// mayKeep reports whether the copy of a first packet goes where the first went.
func (m *Model) mayKeep(now time.Time, x *member) bool {
	return !m.out[x.Domain] && x.open() && now.Sub(x.heard) < quietLimit && m.members[x.Name] == x
}

// place chooses an agent for a new flow.
func (m *Model) place(now time.Time, r routing.Route, h *hint, s segment.Segment, data []byte) {
	service, ok := r.Service(s.Tuple)
	if !ok {
		m.reset(s, CauseNoRoute, 0)
		return
	}
	if len(h.tried) >= maxPlacements {
		m.refuse(s, len(h.tried))
		return
	}
	x := m.choose(now, service, h, s.Tuple.Hash(placeSalt))
	switch {
	case x != nil:
		h.member = x
		x.placed++
		m.stats.Placed++
		m.remember(s.Tuple, h)
		m.opens(now, x)
		m.send(x, data, false)
	case now.Sub(m.started) < startGrace && len(h.tried) == 0:
		m.stats.DroppedAtStart++
	default:
		m.refuse(s, len(h.tried))
	}
}

// refuse tells the caller at once that no target takes its flow.
func (m *Model) refuse(s segment.Segment, agents int) {
	delete(m.hints, s.Tuple)
	m.stats.Refused++
	m.reset(s, CauseNoTarget, agents)
}

func (m *Model) choose(now time.Time, service string, h *hint, seed uint64) *member {
	m.choice = m.choice[:0]
	m.choiceMembers = m.choiceMembers[:0]
	for _, x := range m.services[service] {
		if m.out[x.Domain] || !x.open() || h.hasTried(x) {
			continue
		}
		m.choice = append(m.choice, x.candidate(now, m.config.Domain))
		m.choiceMembers = append(m.choiceMembers, x)
	}
	i, crowded, ok := m.config.Placement.Choose(m.choice, seed)
	if !ok {
		return nil
	}
	if m.familiar(now, service) {
		m.refresh(now, m.choiceMembers, seed, crowded)
	}
	return m.choiceMembers[i]
}

// familiar reports whether this balancer has opened another flow for a service just
// now, and notes that it opens one. Reports are not worth their bytes where flows
// come one by one: the agents refuse what they cannot take.
func (m *Model) familiar(now time.Time, service string) bool {
	again := now.Sub(m.opened[service]) < holder.ReportLease
	m.opened[service] = now
	return again
}

// rejected decides again about a packet that an agent returned.
func (m *Model) rejected(now time.Time, x RejectMsg) {
	from := m.byAddr[x.From]
	if from == nil || m.declared == nil {
		return
	}
	from.met(now)
	m.stats.Rejected++
	r, ok := m.declared.Routes[routing.AddressOf(x.Segment.Tuple)]
	if !ok {
		m.reset(x.Segment, CauseNoRoute, 0)
		return
	}
	h := m.hints[x.Segment.Tuple]
	if !x.Segment.Initial() {
		if h != nil && h.member == from {
			delete(m.hints, x.Segment.Tuple)
			h = nil
		}
		m.notHeld(now, r, from, x, h)
		return
	}
	if h == nil || h.first != x.Segment.Sequence || (h.member != nil && h.member != from) {
		return
	}
	m.learnRejection(now, from, x.Reason)
	starting := x.Reason == holder.RejectDown || x.Reason == holder.RejectCold
	if starting && now.Sub(m.started) < startGrace {
		// Everything starts; the caller's next copy comes within 400 ms.
		m.stats.DroppedAtStart++
		delete(m.hints, x.Segment.Tuple)
		return
	}
	h.tried = append(h.tried, from)
	h.member = nil
	m.place(now, r, h, x.Segment, x.Data)
}

// learnRejection corrects what is known of an agent that refused a new flow.
func (m *Model) learnRejection(now time.Time, x *member, reason holder.RejectReason) {
	switch reason {
	case holder.RejectDraining:
		x.report.Availability = holder.AvailabilityDraining
	case holder.RejectDown:
		x.report.Availability = holder.AvailabilityDown
	}
	if x.heard.IsZero() {
		x.heard = now
	}
}
