package director

import (
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

const (
	// maxPlacements is the maximum number of agents to which one new flow is sent.
	maxPlacements = 8
	// maxReuseReportAge is the age of an agent's report up to which a retransmitted first
	// packet goes to the same agent: a little more than the time between two reports.
	maxReuseReportAge = 650 * time.Millisecond
	// placeSalt makes the choice of a target independent of other uses of the hash.
	placeSalt = 0x71ace
	// startGrace is the time after the start in which agents may not have reported
	// yet. First packets that find no target are dropped in it without a reset; the
	// caller retransmits them.
	startGrace = 1500 * time.Millisecond
)

// openFlow handles the first packet of a flow, or a retransmission of it.
func (m *Model) openFlow(now time.Time, s segment.Segment, data []byte) {
	r, ok := m.declared.Routes[routing.AddressOf(s.Tuple)]
	if !ok {
		m.reset(s, CauseNoRoute, 0)
		return
	}
	h := m.hints[s.Tuple]
	if h == nil || h.firstSequence != s.Sequence || h.ended() {
		h = &hint{
			firstSequence: s.Sequence,
			addedAt:       now,
		}
	}
	h.lastUsed = now
	if h.member != nil && m.reusesTarget(now, r, h.member) {
		m.noteOpened(now, h.member)
		m.send(h.member, s.Tuple, data, false)
		return
	}
	m.place(now, r, h, s, data)
}

// reusesTarget reports whether a retransmitted first packet goes to the agent that the
// first one went to.
func (m *Model) reusesTarget(now time.Time, r routing.Route, agent *member) bool {
	return now.Sub(agent.lastReport) < maxReuseReportAge && m.mayOpen(r, agent)
}

// mayOpen reports whether an agent that was chosen for a new flow before may still get it: also
// the configuration may have changed since.
func (m *Model) mayOpen(r routing.Route, agent *member) bool {
	known := m.members[agent.Name] == agent
	return known && r.Opens(agent.Service) && !m.outOfService[agent.Domain] && agent.acceptsFlows()
}

// place chooses an agent for a new flow.
func (m *Model) place(now time.Time, r routing.Route, h *hint, s segment.Segment, data []byte) {
	service, ok := r.Service(s.Tuple)
	if !ok {
		m.reset(s, CauseNoRoute, 0)
		return
	}
	if len(h.tried) >= m.maxTries() {
		m.refuse(now, s, len(h.tried))
		return
	}
	var agent *member
	if m.config.LoadAware {
		agent = m.chooseByDelayOrWait(now, r, service, h, s)
	} else {
		agent = m.chooseOrWait(now, r, service, h, s.Tuple.Hash(placeSalt))
	}
	switch {
	case agent != nil:
		m.sendNew(now, agent, h, s, data)
	case now.Sub(m.startedAt) < startGrace && m.mayBeStarting(h):
		m.stats.DroppedAtStart++
		if m.config.LoadAware {
			delete(m.hints, s.Tuple)
		}
	default:
		m.refuse(now, s, len(h.tried))
	}
}

// maxTries returns the maximum number of agents to which one new flow is sent.
func (m *Model) maxTries() int {
	if m.config.LoadAware {
		return maxPlacementsByDelay
	}
	return maxPlacements
}

// mayBeStarting reports whether no target for a flow was found because they are starting. When
// load-aware, a flow that a target has returned as cold is tried at others first.
func (m *Model) mayBeStarting(h *hint) bool {
	if m.config.LoadAware {
		return h.cold || len(h.tried) == 0 && len(m.candidates) == 0
	}
	return len(h.tried) == 0
}

// sendNew sends the first packet of a new flow to an agent.
func (m *Model) sendNew(now time.Time, agent *member, h *hint, s segment.Segment, data []byte) {
	h.member = agent
	agent.placed++
	m.stats.Placed++
	m.notePlaced(now, agent, s)
	m.putHint(s.Tuple, h)
	m.noteOpened(now, agent)
	m.send(agent, s.Tuple, data, false)
}

// chooseOrWait chooses an agent for a new flow. Once targets have deferred the flow, it
// returns another one only if that is likely to serve the flow sooner; then it lets the flow
// wait at those that have deferred it, in turn, before it tries others.
func (m *Model) chooseOrWait(now time.Time, r routing.Route, service string, h *hint, seed uint64) *member {
	if !h.waits && len(h.deferred) < maxDeferrals {
		agent := m.choose(now, service, h, seed)
		if len(h.deferred) == 0 || (agent != nil && m.servesSooner(now, agent, h.deferred[0])) {
			return agent
		}
	}
	if agent := m.nextDeferring(r, h); agent != nil {
		return agent
	}
	return m.choose(now, service, h, seed)
}

// nextDeferring returns the next agent at which a flow waits that was deferred there, or nil.
func (m *Model) nextDeferring(r routing.Route, h *hint) *member {
	for len(h.deferred) > 0 {
		agent := h.deferred[0]
		h.deferred = h.deferred[1:]
		if m.mayOpen(r, agent) {
			h.waits = true
			return agent
		}
	}
	return nil
}

const (
	// maxDeferrals is the number of targets that may defer a flow.
	maxDeferrals = 2
	// maxMovedBytes is the mean payload of a flow up to which a flow rather goes to another
	// failure domain than wait.
	maxMovedBytes = 8 << 10
)

// servesSooner reports whether a flow that was deferred by one agent is rather sent to
// another: that one has reported lately and is not ejected, and it is in this failure domain,
// or few bytes cross domains.
func (m *Model) servesSooner(now time.Time, agent, deferredBy *member) bool {
	known := now.Sub(m.reportedAt(agent)) <= m.config.Placement.SilenceTimeout
	return known && !agent.ejected && (agent.Domain == m.config.Domain || cheapToMove(deferredBy))
}

// cheapToMove reports whether flows of an agent's service are so small that serving them
// in another failure domain costs little.
func cheapToMove(agent *member) bool {
	return agent.report.FlowBytes > 0 && agent.report.FlowBytes <= maxMovedBytes
}

// refuse resets a new flow at once because no target was found that accepts it.
func (m *Model) refuse(now time.Time, s segment.Segment, agents int) {
	delete(m.hints, s.Tuple)
	m.stats.Refused++
	m.noteRefused(now, s)
	m.reset(s, CauseNoTarget, agents)
}

func (m *Model) choose(now time.Time, service string, h *hint, seed uint64) *member {
	m.candidates = m.candidates[:0]
	m.candidateMembers = m.candidateMembers[:0]
	for _, agent := range m.membersByService[service] {
		if m.outOfService[agent.Domain] || !agent.acceptsFlows() || h.hasTried(agent) {
			continue
		}
		m.addCandidate(now, agent)
	}
	i, crowded, ok := m.config.Placement.Choose(m.candidates, seed)
	if !ok {
		return nil
	}
	if m.openedRecently(now, service) {
		m.requestMissingReports(now, m.candidateMembers, seed, crowded)
	}
	return m.candidateMembers[i]
}

// openedRecently reports whether this balancer has opened another flow of the service
// within the last holder.ReportLease, and records that it opens one now. For services
// with few new flows, reports are not worth their bytes: the agents refuse flows that
// they cannot handle.
func (m *Model) openedRecently(now time.Time, service string) bool {
	again := now.Sub(m.lastOpened[service]) < holder.ReportLease
	m.lastOpened[service] = now
	return again
}

// handleReject decides again where a packet goes that an agent has returned.
func (m *Model) handleReject(now time.Time, msg RejectMsg) {
	from := m.membersByAddress[msg.From]
	if from == nil || m.declared == nil {
		return
	}
	from.received(now)
	m.stats.Rejected++
	r, ok := m.declared.Routes[routing.AddressOf(msg.Segment.Tuple)]
	if !ok {
		m.reset(msg.Segment, CauseNoRoute, 0)
		return
	}
	h := m.hints[msg.Segment.Tuple]
	if !msg.Segment.Initial() {
		if h != nil && h.member == from {
			delete(m.hints, msg.Segment.Tuple)
			h = nil
		}
		m.handleNotHeld(now, r, from, msg, h)
		return
	}
	if h == nil || h.firstSequence != msg.Segment.Sequence || (h.member != nil && h.member != from) {
		return
	}
	m.applyRejection(now, from, msg.Reason)
	m.noteReturned(now, from, h, msg.Segment, msg.Reason)
	if m.startsWith(h, msg.Reason) && now.Sub(m.startedAt) < startGrace {
		// The balancer and its targets may be starting together; the caller's next
		// retransmission comes within 400 ms.
		m.stats.DroppedAtStart++
		delete(m.hints, msg.Segment.Tuple)
		return
	}
	h.tried = append(h.tried, from)
	if msg.Reason == holder.RejectBusy {
		h.deferred = append(h.deferred, from)
	}
	h.member = nil
	m.place(now, r, h, msg.Segment, msg.Data)
}

// startsWith reports whether a target has returned a new flow because it is starting, and the
// flow is not tried at others.
func (m *Model) startsWith(h *hint, reason holder.RejectReason) bool {
	h.cold = h.cold || reason == holder.RejectCold
	return reason == holder.RejectDown || reason == holder.RejectCold && !m.config.LoadAware
}

// applyRejection updates the state of an agent that refused a new flow.
func (m *Model) applyRejection(now time.Time, agent *member, reason holder.RejectReason) {
	switch reason {
	case holder.RejectDraining:
		agent.report.Availability = holder.AvailabilityDraining
	case holder.RejectDown:
		agent.report.Availability = holder.AvailabilityDown
	}
	if agent.lastReport.IsZero() {
		agent.lastReport = now
		agent.lastLoad = now
	}
}
