package director

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
)

// HandoverMsg has open flows of an agent that is stopping. BackendIncarnation is the
// incarnation that is known to hold them, or zero.
type HandoverMsg struct {
	From               netip.AddrPort
	Flows              []holder.QueriedFlow
	BackendIncarnation uint64
}

// HandoverRequestMsg is an agent's request for the flows of its earlier processes.
type HandoverRequestMsg struct {
	From netip.AddrPort
}

// handover has the flows that one process of an agent has handed over, for its next process.
type handover struct {
	// agentIncarnation is the process that has handed them over.
	agentIncarnation uint64
	at               time.Time
	// flows has the flows by the incarnation of the backend server.
	flows map[uint64]map[flow.Tuple]holder.QueriedFlow
}

// handoverRetention is the time for which flows that were handed over are kept: longer than
// an agent takes to restart. A later process would know most of them better.
const handoverRetention = 20 * time.Second

func (m *Model) handleHandover(now time.Time, msg HandoverMsg) {
	agent := m.membersByAddress[msg.From]
	if agent == nil {
		return
	}
	agent.received(now)
	h := agent.handover
	if h == nil || h.agentIncarnation != agent.Incarnation || now.Sub(h.at) > handoverRetention {
		h = &handover{
			agentIncarnation: agent.Incarnation,
			flows:            map[uint64]map[flow.Tuple]holder.QueriedFlow{},
		}
		agent.handover = h
	}
	h.at = now
	flows := h.flows[msg.BackendIncarnation]
	if flows == nil {
		flows = map[flow.Tuple]holder.QueriedFlow{}
		h.flows[msg.BackendIncarnation] = flows
	}
	for _, f := range msg.Flows {
		flows[f.Tuple] = f
	}
}

// returnHandover sends an agent the flows that its earlier process has handed over.
func (m *Model) returnHandover(now time.Time, agent *member) {
	h := agent.handover
	if h == nil || now.Sub(h.at) > handoverRetention {
		agent.handover = nil
		return
	}
	for _, incarnation := range slices.Sorted(maps.Keys(h.flows)) {
		m.emitHints(agent, HintsEffect{
			Flows:              slices.Collect(maps.Values(h.flows[incarnation])),
			BackendIncarnation: incarnation,
			Handover:           true,
		})
	}
}
