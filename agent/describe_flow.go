package agent

import (
	"fmt"

	"github.com/lentilshed/lentilshed/flow"
)

// DescribeFlow describes in one line what the model knows of a flow, for
// troubleshooting.
func (m *Model) DescribeFlow(k flow.Key) string {
	h, ok := m.home(k)
	if !ok {
		return "no home"
	}
	s := fmt.Sprintf("home %s under %v", h.ID, m.Vector())
	if f := m.flows[k]; f != nil {
		s += fmt.Sprintf(", local state %d established %t", f.state, f.established)
	}
	if p := m.placements[k]; p != nil {
		s += fmt.Sprintf(", at %s confirmed %t", p.target, p.confirmed)
	}
	if h.ID == m.config.Self {
		s += fmt.Sprintf(", waits for %v, behind %t, held %d", m.UnsyncedPeers(), m.behind(), len(m.held.packets))
	}
	return s
}

// describeFlowMsg asks the goroutine that owns the model to describe a flow.
type describeFlowMsg struct {
	key   flow.Key
	reply chan string
}

// DescribeFlow describes in one line what this agent and its TCP stack know of
// a flow.
func (r *Runtime) DescribeFlow(k flow.Key) string {
	c := make(chan string, 1)
	r.post(describeFlowMsg{
		key:   k,
		reply: c,
	})
	select {
	case s := <-c:
		return s + "; " + r.flows.describe(k)
	case <-r.stop:
		return "stopped"
	}
}
