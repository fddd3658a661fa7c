package director_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/stretchr/testify/require"
)

// To run more: go test ./director -run Random -seeds 1500 -first-seed 10000
var (
	randomSeeds = flag.Uint64("seeds", 300, "number of random worlds")
	firstSeed   = flag.Uint64("first-seed", 0, "seed of the first random world")
)

const (
	randomSteps = 60
	liveFlows   = 40
)

// TestFlowsSurviveRandomFaults lets balancers, agents and backend servers
// stop, start, drain and join in random order while callers keep flows open. The
// simulated world asserts that no live flow is reset or misrouted. At the end live flows
// must be served, and flows whose servers have ended must be reset. Flows of servers in
// node.unrecorded are left out.
func TestFlowsSurviveRandomFaults(t *testing.T) {
	for n := range *randomSeeds {
		seed := *firstSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.run(2 * time.Second)
			for range randomSteps {
				w.injectFault()
				w.traffic()
				w.run(w.randomDuration(20*time.Millisecond, 400*time.Millisecond))
			}
			w.settle()
		})
	}
}

// injectFault makes one random event happen.
func (w *world) injectFault() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	b := w.balancers[w.rand.IntN(len(w.balancers))]
	switch w.rand.IntN(9) {
	case 0:
		w.restartBalancer(b, w.randomDuration(10*time.Millisecond, 300*time.Millisecond))
	case 1:
		w.restartAgent(n, w.randomDuration(10*time.Millisecond, 800*time.Millisecond))
	case 2:
		w.restartServer(n, w.randomDuration(10*time.Millisecond, 800*time.Millisecond))
	case 3:
		n.server.draining = !n.server.draining
	case 4:
		if len(w.nodes) < 9 {
			w.addNode(len(w.nodes))
		}
	case 5:
		w.toggleOutOfService(n.domain)
	case 6:
		// Power is lost: agent and backend server restart.
		w.restartServer(n, 300*time.Millisecond)
		w.restartAgent(n, 300*time.Millisecond)
	case 7:
		w.fabricSalt++
	}
}

func (w *world) restartBalancer(b *balancer, d time.Duration) {
	if b.down {
		return
	}
	b.down = true
	w.schedule(d, func() { w.startBalancer(b) })
}

func (w *world) restartAgent(n *node, d time.Duration) {
	if n.down {
		return
	}
	n.down = true
	if n.recorded != n.server.incarnation {
		n.unrecorded[n.server] = true
	}
	w.schedule(d, func() { w.startAgent(n) })
}

func (w *world) restartServer(n *node, d time.Duration) {
	s := n.server
	if !s.alive {
		return
	}
	s.alive = false
	w.schedule(d, func() {
		if n.server == s {
			w.startServer(n)
		}
	})
}

func (w *world) toggleOutOfService(domain string) {
	if len(w.outOfService) > 0 {
		w.outOfService = nil
	} else {
		w.outOfService = []string{domain}
	}
	w.incarnations++
	for _, b := range w.balancers {
		w.updateBalancer(b, director.DomainsMsg{
			OutOfService: w.outOfService,
			Revision:     w.incarnations,
		})
	}
}

// traffic opens flows up to liveFlows and sends a packet on some.
func (w *world) traffic() {
	for len(w.openCallers()) < liveFlows {
		c := w.open()
		w.callers[c.tuple] = c
	}
	for _, c := range w.openCallers() {
		if c.ack != 0 && w.rand.IntN(3) == 0 {
			w.sendPacket(c)
		}
	}
}

// openCallers returns the flows that have not ended, in a fixed order.
func (w *world) openCallers() []*caller {
	keys := slices.SortedFunc(maps.Keys(w.callers), func(a, b flow.Tuple) int {
		return int(a.CallerPort) - int(b.CallerPort)
	})
	var l []*caller
	for _, k := range keys {
		c := w.callers[k]
		switch {
		case c.ended:
			delete(w.callers, k)
		default:
			l = append(l, c)
		}
	}
	return l
}

// settle ends the drains and the loss of packets and checks the flows that are open: a
// live one must get an answer, and one whose server has ended must be reset.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.server.draining = false
	}
	w.loss = 0
	// Until agents know all flows again, lookups offer few packets.
	for range 9 {
		for _, c := range w.openCallers() {
			if c.ack != 0 {
				w.sendPacket(c)
			}
		}
		w.run(2 * time.Second)
	}
	before := map[*caller]int{}
	live := w.openCallers()
	for _, c := range live {
		before[c] = c.served
	}
	for range 6 {
		for _, c := range live {
			if c.ack != 0 && !c.ended && c.served == before[c] {
				w.sendPacket(c)
			}
		}
		w.run(700 * time.Millisecond)
	}
	for _, c := range live {
		if c.server == nil || c.node.unrecorded[c.server] {
			continue
		}
		if c.server.alive {
			require.Greater(w.t, c.served, before[c], "live flow %s is not served", c.tuple)
			continue
		}
		require.True(w.t, c.ended, "dead flow %s was not reset", c.tuple)
	}
}
