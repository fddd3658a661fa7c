package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/stretchr/testify/require"
)

// stopAgent stops an agent as its platform does: it reports that it is stopping, ends, and
// starts again after a time.
func (w *world) stopAgent(n *node, d time.Duration) {
	for range 3 {
		w.updateAgent(n, holder.StopMsg{})
		w.run(50 * time.Millisecond)
	}
	w.updateAgent(n, holder.ExitMsg{})
	n.down = true
	w.schedule(d, func() { w.startAgent(n) })
}

// restartInTurn restarts all agents and, beside them, all balancers in turn.
func (w *world) restartInTurn() {
	for i, n := range w.nodes {
		w.stopAgent(n, 500*time.Millisecond)
		w.run(900 * time.Millisecond)
		if i%2 == 0 {
			w.restartBalancer(w.balancers[i/2%len(w.balancers)], 300*time.Millisecond)
		}
		w.run(700 * time.Millisecond)
	}
}

// TestPausedFlowsSurviveRestartsInTurn guards against misrouting after planned restarts: all
// agents and balancers are restarted in turn while flows pause, so that no agent has seen a
// packet of them and no balancer has their hints. No packet may reach another server.
func TestPausedFlowsSurviveRestartsInTurn(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.run(2 * time.Second)
			for range 10 {
				w.traffic()
				w.run(200 * time.Millisecond)
			}
			w.restartInTurn()
			for _, n := range w.nodes {
				require.True(t, n.model.Report(w.now).PlannedRestart, "%s does not know that it was asked to stop", n.name)
			}
			w.loss = 0
			w.fabricSalt++
			w.misrouted = 0
			flows := w.openCallers()
			require.Len(t, flows, liveFlows)
			for _, c := range flows {
				c.served = 0
				w.sendPacket(c)
			}
			w.run(time.Second)
			for _, c := range flows {
				require.NotZero(t, c.served, "flow %s is not served", c.tuple)
			}
			require.Zero(t, w.misrouted, "packets of open flows reached other servers")
		})
	}
}
