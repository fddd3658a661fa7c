package agent

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

const (
	randomSeeds = 100
	randomSteps = 4000
	// stepTime keeps the queues of control messages well below syncTimeout.
	stepTime = 500 * time.Microsecond
)

// TestRandomPlannedChanges performs drains, weight changes, disconnections and
// late or repeated packets in random order, with several tables in use at a time.
// It asserts after every message that no live flow is reset or moved.
func TestRandomPlannedChanges(t *testing.T) {
	changes := 0
	for seed := range uint64(randomSeeds) {
		n := newNetwork(t, seed, "a", "b", "c", "d", "e")
		for range randomSteps {
			changes += n.randomStep()
		}
		n.settle()
		n.checkReachable()
		n.checkNoneStuck()
	}
	require.Greater(t, changes, 10_000)
}

// TestRandomCrashes adds crashes and restarts: no live flow may be reset, and in the
// end a packet of any flow that is not live must be answered by a reset.
func TestRandomCrashes(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		n := newNetwork(t, seed, "a", "b", "c", "d", "e")
		for i := range randomSteps {
			n.randomStep()
			if i%1000 == 999 {
				n.randomCrash()
			}
		}
		n.settle()
		n.checkReachable()
		n.checkEndedAreReset()
	}
}

// mix is how often each kind of step is performed, relative to the others.
type mix struct {
	open, send, deliver, repeat, control, adopt, tick, disconnect, end, change int
}

// newMix draws a mix, so that seeds differ in how fast messages are delivered.
func (n *network) newMix() mix {
	return mix{
		open:       6,
		send:       20 + n.rand.IntN(30),
		deliver:    20 + n.rand.IntN(30),
		repeat:     4,
		control:    20 + n.rand.IntN(120),
		adopt:      2 + n.rand.IntN(10),
		tick:       3 + n.rand.IntN(6),
		disconnect: n.rand.IntN(4),
		end:        1,
		change:     2 + n.rand.IntN(8),
	}
}

// randomStep performs one random step and returns the number of planned changes
// made.
func (n *network) randomStep() int {
	n.now = n.now.Add(stepTime)
	m := &n.mix
	steps := []struct {
		weight int
		do     func()
	}{
		{m.open, func() { n.open() }},
		{m.send, n.sendLive},
		{m.deliver, n.deliverAny},
		{m.repeat, n.repeatAny},
		{m.control, n.controlAny},
		{m.adopt, func() { n.adopt(n.anyID()) }},
		{m.tick, func() { n.update(n.anyID(), TickMsg{}) }},
		{m.disconnect, func() { n.disconnect(n.anyLink()) }},
		{m.end, n.endAny},
		{m.change, n.randomChange},
	}
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	draw := n.rand.IntN(total)
	for i, s := range steps {
		if draw < s.weight {
			s.do()
			if i == len(steps)-1 {
				return 1
			}
			return 0
		}
		draw -= s.weight
	}
	return 0
}

func (n *network) deliverAny() {
	if len(n.packets) > 0 {
		n.deliverPacket(n.rand.IntN(len(n.packets)))
	}
}

// repeatAny duplicates a packet in flight.
func (n *network) repeatAny() {
	if len(n.packets) > 0 {
		n.packets = append(n.packets, n.packets[n.rand.IntN(len(n.packets))])
	}
}

// controlAny delivers the oldest message of a random link that has one.
func (n *network) controlAny() {
	var waiting []testLink
	for _, a := range n.ids {
		for _, b := range n.ids {
			l := testLink{
				from: a,
				to:   b,
			}
			if len(n.control[l]) > 0 {
				waiting = append(waiting, l)
			}
		}
	}
	if len(waiting) > 0 {
		n.deliverControl(waiting[n.rand.IntN(len(waiting))])
	}
}

func (n *network) anyLink() testLink {
	return testLink{
		from: n.anyID(),
		to:   n.anyID(),
	}
}

// randomChange drains, undrains or reweights one target. Weights alternate
// between two values, so that buckets move away and back.
func (n *network) randomChange() {
	id := n.anyID()
	x, ok := n.targets[id]
	if !ok {
		return
	}
	if n.rand.IntN(2) == 0 {
		x.HomeEligible = !x.HomeEligible
	} else {
		x.Weight = 250 - x.Weight
	}
	n.targets[id] = x
	n.publish()
}

// randomCrash crashes one target and starts it again later. The other models
// adopt a table without it only in later steps.
func (n *network) randomCrash() {
	id := n.anyID()
	n.crash(id)
	delete(n.targets, id)
	n.publish()
	for range 200 {
		n.randomStep()
	}
	n.start(id)
	n.publish()
}

func (n *network) anyID() target.ID {
	return n.ids[n.rand.IntN(len(n.ids))]
}

// sendLive sends a packet of a live flow, occasionally its first one again.
func (n *network) sendLive() {
	l := n.live()
	if len(l) == 0 {
		return
	}
	k := l[n.rand.IntN(len(l))]
	if n.rand.IntN(10) == 0 {
		n.send(k, header.TCPFlagSyn)
		return
	}
	n.send(k, header.TCPFlagAck)
}

func (n *network) endAny() {
	if l := n.live(); len(l) > 0 {
		n.end(l[n.rand.IntN(len(l))])
	}
}

// checkReachable asserts that a packet of every live flow, sent to its home in
// a recent table, reaches the target that holds the flow.
func (n *network) checkReachable() {
	for _, k := range n.live() {
		f := n.flows[k]
		before := n.deliveries(f.holder)
		n.send(k, header.TCPFlagAck)
		for n.step() {
		}
		require.Greater(n.t, n.deliveries(f.holder), before, "flow %s at %s is unreachable", k, f.holder)
	}
}

// checkNoneStuck asserts that a caller who repeats the first packet of a flow
// that has not opened is answered, by opening the flow or by a refusal.
func (n *network) checkNoneStuck() {
	n.now = n.now.Add(2 * closeLinger)
	n.settle()
	for k, f := range n.flows {
		if f.live || f.ended {
			continue
		}
		before := n.refused
		n.send(k, header.TCPFlagSyn)
		n.settleTicks(4)
		require.True(n.t, f.live || n.refused > before, "the first packet of flow %s is not answered", k)
	}
}

// checkEndedAreReset asserts that a caller whose flow is not live receives a reset
// in answer to its next packet.
func (n *network) checkEndedAreReset() {
	n.now = n.now.Add(2 * closeLinger)
	n.settle()
	for k, f := range n.flows {
		if f.live {
			continue
		}
		before := n.resets
		n.send(k, header.TCPFlagAck)
		n.settleTicks(4)
		require.Greater(n.t, n.resets, before, "ended flow %s was not reset", k)
	}
}

func (n *network) settleTicks(count int) {
	for range count {
		n.now = n.now.Add(400 * time.Millisecond)
		for _, id := range n.ids {
			n.update(id, TickMsg{})
		}
		for n.step() {
		}
	}
}

// deliveries returns the number of packets delivered to a target's TCP stack.
func (n *network) deliveries(id target.ID) int {
	return n.deliveryCount[id]
}
