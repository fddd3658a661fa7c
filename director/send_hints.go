package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
)

const (
	// hintReports is the number of reports of a started agent after which it is sent its
	// hints; some datagrams are lost.
	hintReports = 2
	// unsureTime is the age of an agent process from which on it knows its flows.
	unsureTime = 20 * time.Second
)

// sendHints sends an agent that has just started the flows that an earlier process of it
// has handed over or confirmed to this balancer, if its backend server still runs. When
// agents restart while flows move between balancers, the balancer that looks a flow up is not
// the one that knows it; without the hints no agent could reply that it holds the flow until
// the backend server sends a packet.
func (m *Model) sendHints(now time.Time, agent *member) {
	if agent.hintReports >= hintReports || now.Sub(agent.startedAt) > unsureTime {
		return
	}
	agent.hintReports++
	m.sendKnownFlows(now, agent)
}

// handleHandoverRequest sends an agent that asks for the flows of its earlier processes those
// that are known here.
func (m *Model) handleHandoverRequest(now time.Time, msg HandoverRequestMsg) {
	if agent := m.membersByAddress[msg.From]; agent != nil {
		agent.received(now)
		m.sendKnownFlows(now, agent)
	}
}

// sendKnownFlows sends an agent the flows that it has confirmed and those that it has handed
// over.
func (m *Model) sendKnownFlows(now time.Time, agent *member) {
	var l []holder.QueriedFlow
	if agent.reportedIncarnation != 0 {
		for t, h := range m.hints {
			if h.member == agent && h.confirmed() {
				l = append(l, h.queried(t))
			}
		}
	}
	m.emitHints(agent, HintsEffect{
		Flows:              l,
		BackendIncarnation: agent.reportedIncarnation,
	})
	m.returnHandover(now, agent)
}

// sendRestoredHints does the same for all agents, once hints were restored from snapshots.
// One pass over the hints serves all of them: a small instance has thousands of hints and
// more than a hundred agents.
func (m *Model) sendRestoredHints(now time.Time) {
	l := map[*member][]holder.QueriedFlow{}
	for t, h := range m.hints {
		if h.confirmed() && h.member.wantsHints(now) {
			l[h.member] = append(l[h.member], h.queried(t))
		}
	}
	for _, agent := range m.sortedMembers {
		m.emitHints(agent, HintsEffect{
			Flows:              l[agent],
			BackendIncarnation: agent.reportedIncarnation,
		})
	}
}

// wantsHints reports whether the agent has just started beside a backend server whose
// incarnation is known.
func (m *member) wantsHints(now time.Time) bool {
	return m.reportedIncarnation != 0 && now.Sub(m.startedAt) <= unsureTime
}

// confirmed reports whether the present incarnation of the member's backend server is known
// to hold the flow, whose packets this balancer forwards.
func (h *hint) confirmed() bool {
	return h.incarnation != 0 && h.incarnation == h.member.reportedIncarnation && h.opened && !h.closing && !h.foreign
}

func (h *hint) queried(t flow.Tuple) holder.QueriedFlow {
	return holder.QueriedFlow{
		Tuple: t,
		Ack:   h.ack,
	}
}

// emitHints sends the flows of an effect to an agent, in as many datagrams as they need.
func (m *Model) emitHints(agent *member, e HintsEffect) {
	e.To = agent.Address
	l := e.Flows
	slices.SortFunc(l, func(x, y holder.QueriedFlow) int {
		return cmp.Compare(x.Tuple.Hash(0), y.Tuple.Hash(0))
	})
	if len(l) == 0 && e.Handover {
		m.emit(e)
	}
	for x := range slices.Chunk(l, maxQueryFlows) {
		e.Flows = slices.Clone(x)
		m.emit(e)
	}
}
