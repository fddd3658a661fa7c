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

// By hand: go test ./director -run Random -seeds 1500 -first-seed 10000
var (
	randomSeeds = flag.Uint64("seeds", 300, "number of random worlds")
	firstSeed   = flag.Uint64("first-seed", 0, "seed of the first random world")
)

const (
	randomSteps = 60
	liveFlows   = 40
)

// TestFlowsSurviveRandomTrouble lets balancers, agents and backend servers
// stop, start, drain and join in any order while callers keep flows open. The
// world asserts that no live flow is reset or led astray; at the end every live
// flow is served and every dead one is reset.
func TestFlowsSurviveRandomTrouble(t *testing.T) {
	for n := range *randomSeeds {
		seed := *firstSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.run(2 * time.Second)
			for range randomSteps {
				w.trouble()
				w.traffic()
				w.run(w.between(20*time.Millisecond, 400*time.Millisecond))
			}
			w.settle()
		})
	}
}

// trouble is one random event.
func (w *world) trouble() {
	s := w.stations[w.rand.IntN(len(w.stations))]
	g := w.gateways[w.rand.IntN(len(w.gateways))]
	switch w.rand.IntN(9) {
	case 0:
		w.restartGateway(g, w.between(10*time.Millisecond, 300*time.Millisecond))
	case 1:
		w.restartAgent(s, w.between(10*time.Millisecond, 800*time.Millisecond))
	case 2:
		w.restartServer(s, w.between(10*time.Millisecond, 800*time.Millisecond))
	case 3:
		s.server.draining = !s.server.draining
	case 4:
		if len(w.stations) < 9 {
			w.addStation(len(w.stations))
		}
	case 5:
		w.takeOut(s.domain)
	case 6:
		// Power is lost: agent and backend server start anew.
		w.restartServer(s, 300*time.Millisecond)
		w.restartAgent(s, 300*time.Millisecond)
	case 7:
		w.rotation++
	}
}

func (w *world) restartGateway(g *gateway, d time.Duration) {
	if g.down {
		return
	}
	g.down = true
	w.later(d, func() { w.startGateway(g) })
}

func (w *world) restartAgent(s *station, d time.Duration) {
	if s.down {
		return
	}
	s.down = true
	if s.recorded != s.server.born {
		s.blind[s.server] = true
	}
	w.later(d, func() { w.startAgent(s) })
}

func (w *world) restartServer(s *station, d time.Duration) {
	v := s.server
	if !v.alive {
		return
	}
	v.alive = false
	w.later(d, func() {
		if s.server == v {
			w.startServer(s)
		}
	})
}

func (w *world) takeOut(domain string) {
	if len(w.out) > 0 {
		w.out = nil
	} else {
		w.out = []string{domain}
	}
	w.lives++
	for _, g := range w.gateways {
		w.direct(g, director.DomainsMsg{
			OutOfService: w.out,
			Revision:     w.lives,
		})
	}
}

// traffic opens flows and sends a packet on some.
func (w *world) traffic() {
	for len(w.living()) < liveFlows {
		c := w.open()
		w.callers[c.tuple] = c
	}
	for _, c := range w.living() {
		if c.ack != 0 && w.rand.IntN(3) == 0 {
			w.sendPacket(c)
		}
	}
}

// living returns the flows that have not ended, in a fixed order.
func (w *world) living() []*caller {
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

// settle ends the trouble and asks for an answer on every flow.
func (w *world) settle() {
	for _, s := range w.stations {
		s.server.draining = false
	}
	w.loss = 0
	// Until agents know all flows again, searches offer few packets.
	for range 9 {
		for _, c := range w.living() {
			if c.ack != 0 {
				w.sendPacket(c)
			}
		}
		w.run(2 * time.Second)
	}
	before := map[*caller]int{}
	live := w.living()
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
		if c.server == nil || c.station.blind[c.server] {
			continue
		}
		if c.server.alive {
			require.Greater(w.t, c.served, before[c], "live flow %s is not served", c.tuple)
			continue
		}
		require.True(w.t, c.ended, "dead flow %s was not reset", c.tuple)
	}
}
