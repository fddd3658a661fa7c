package director

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

const (
	// maxPlacementsByDelay replaces maxPlacements when load-aware. Tries go only to agents
	// that are not known to be full, so they end early, unless there are so many that
	// reports have missed.
	maxPlacementsByDelay = 24
	// maxDeferralsByDelay replaces maxDeferrals when load-aware: a further try takes two
	// milliseconds, and with 2, p99 was twice as high while a quarter of the targets was
	// silent.
	maxDeferralsByDelay = 6
	// fullRetention is the time for which an agent gets no further flows as urgent as one
	// that it has returned as full or cold: less than the time in which a target with few
	// slots ends a request.
	fullRetention = 10 * time.Millisecond
)

// admission is what a balancer knows for placement and admission by expected delay. It answers
// bursts above the capacity of all targets: without it, each refused flow is tried at eight
// agents that are known to be full, while another one may have room.
type admission struct {
	// refused has the callers that this balancer has refused.
	refused placement.RefusedCallers
	// remoteShares has the part of each service's flows that may go to other domains.
	remoteShares map[string]placement.RemoteShare
}

// newAdmission returns the state of a balancer that has just started.
func newAdmission(c Config) *admission {
	if !c.LoadAware {
		return nil
	}
	return &admission{
		remoteShares: map[string]placement.RemoteShare{},
	}
}

// chooseByDelayOrWait chooses an agent for a new flow, or nil if no agent that is known can
// serve it in time. Once an agent has deferred the flow, it goes only to one that is likely to
// serve it within the objective; if there is none, it goes back to those that have deferred it,
// and then to others that have room.
func (m *Model) chooseByDelayOrWait(now time.Time, r routing.Route, service string, h *hint, s segment.Segment) *member {
	limits := placement.NewLimits(r.Class, m.admission.refused.Contains(now, s.Tuple.Caller))
	if !h.waits && len(h.deferred) < maxDeferralsByDelay {
		agent, x := m.chooseByDelay(now, r, service, h, s, limits)
		if len(h.deferred) == 0 || agent != nil && x.Delay <= limits.Objective && m.servesSooner(now, agent, h.deferred[0]) {
			return agent
		}
	}
	if agent := m.nextDeferring(r, h); agent != nil {
		return agent
	}
	agent, _ := m.chooseByDelay(now, r, service, h, s, limits)
	return agent
}

// chooseByDelay chooses an agent by expected delay among those that have not returned the flow.
func (m *Model) chooseByDelay(now time.Time, r routing.Route, service string, h *hint, s segment.Segment, limits placement.Limits) (*member, placement.Choice) {
	seed := s.Tuple.Hash(placeSalt)
	m.collectCandidates(now, service, h, seed, r.Class.Priority)
	share := m.admission.remoteShares[service]
	x, ok := m.config.Placement.ChooseByDelay(now, m.candidates, placement.Flow{
		Seed:        seed,
		Route:       routing.AddressOf(s.Tuple),
		Priority:    r.Class.Priority,
		Limit:       limits.Returned,
		Returned:    len(h.tried) > 0,
		RemoteShare: share.Share(),
	})
	if len(m.candidates) > 0 && m.openedRecently(now, service) {
		m.requestMissingReports(now, m.candidateMembers, seed, x.Crowded)
		m.subscribeToEjected(now, x.Crowded)
	}
	if !ok {
		return nil, x
	}
	if len(h.tried) == 0 {
		m.admission.remoteShares[service] = share.Follow(now, x.RemoteShare)
	}
	return m.candidateMembers[x.Index], x
}

// collectCandidates collects the agents that may take a new flow of a priority.
func (m *Model) collectCandidates(now time.Time, service string, h *hint, seed uint64, p routing.Priority) {
	m.candidates = m.candidates[:0]
	m.candidateMembers = m.candidateMembers[:0]
	m.ejection.skipped = m.ejection.skipped[:0]
	for _, agent := range m.membersByService[service] {
		if m.outOfService[agent.Domain] || !agent.acceptsFlows() || h.hasTried(agent) {
			continue
		}
		if agent.full.holds(now, p) {
			continue
		}
		if m.ejected(now, agent, seed) {
			m.ejection.skipped = append(m.ejection.skipped, agent)
			continue
		}
		m.addCandidate(now, agent)
	}
	m.readmitEjected(now)
}

// addCandidate adds an agent to the candidates for a new flow, with its work if load-aware.
func (m *Model) addCandidate(now time.Time, agent *member) {
	c := agent.candidate(now, m.reportedAt(agent), m.config.Domain)
	if m.config.LoadAware {
		c.Load = &agent.report.Load
		c.Backlog = &agent.backlog
		for _, q := range agent.report.Load.Queued {
			c.Busy += float64(q.Requests)
		}
	}
	m.candidates = append(m.candidates, c)
	m.candidateMembers = append(m.candidateMembers, agent)
}

// fullMark says that an agent has returned a flow as full or cold.
type fullMark struct {
	at       time.Time
	priority routing.Priority
}

// holds reports whether the agent would return a flow of a priority, too: one that is at most
// as urgent, a moment later.
func (f fullMark) holds(now time.Time, p routing.Priority) bool {
	return !f.at.IsZero() && now.Sub(f.at) < fullRetention && p >= f.priority
}

// notePlaced adds the work of a new flow to the backlog of its agent.
func (m *Model) notePlaced(now time.Time, agent *member, s segment.Segment) {
	if !m.config.LoadAware {
		return
	}
	route := routing.AddressOf(s.Tuple)
	agent.backlog.Place(now, m.declared.Routes[route].Class.Priority, agent.meanCost(route))
}

// noteReturned records that an agent has returned a new flow that was sent to it.
func (m *Model) noteReturned(now time.Time, agent *member, h *hint, s segment.Segment, reason holder.RejectReason) {
	if !m.config.LoadAware {
		return
	}
	route := routing.AddressOf(s.Tuple)
	p := m.declared.Routes[route].Class.Priority
	if h.member == agent {
		agent.backlog.Remove(now, p, agent.meanCost(route))
	}
	switch reason {
	case holder.RejectBusy:
		m.stats.Deferred[placement.Level(p)]++
	case holder.RejectFull, holder.RejectCold:
		agent.full = fullMark{
			at:       now,
			priority: p,
		}
	}
}

// noteRefused records that a new flow was refused.
func (m *Model) noteRefused(now time.Time, s segment.Segment) {
	if !m.config.LoadAware {
		return
	}
	m.admission.refused.Add(now, s.Tuple.Caller)
	m.stats.RefusedByLevel[placement.Level(m.declared.Routes[routing.AddressOf(s.Tuple)].Class.Priority)]++
}

// meanCost returns the mean cost of a route at the agent's backend server, or a default while
// it is not known.
func (m *member) meanCost(route routing.Address) time.Duration {
	if c, ok := m.report.Load.Cost(route); ok && c.Mean > 0 {
		return c.Mean
	}
	return cost.DefaultMean
}
