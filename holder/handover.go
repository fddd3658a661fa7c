package holder

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// An agent that is asked to stop knows the open flows of its backend server, and its next
// process does not. The instance has no disk, and the store may be unavailable, so the agent
// hands the flows over to a few balancers, which return them to the next process. Without
// them, all agents would be unsure about all flows while they are restarted in turn.

// HandoverEffect sends open flows of the backend server to balancers.
type HandoverEffect struct {
	To    []netip.AddrPort
	Flows []QueriedFlow
	// BackendIncarnation is the incarnation that is known to hold the flows, or zero.
	BackendIncarnation uint64
}

// HandoverRequestEffect requests the flows of earlier processes from balancers.
type HandoverRequestEffect struct {
	To []netip.AddrPort
}

const (
	// handoverCopies is the number of balancers that get the flows: some of them may be
	// restarting, and some datagrams are lost.
	handoverCopies = 4
	// handoverRequests is the number of balancers that are asked for the flows. It is
	// larger, as balancers may have joined since.
	handoverRequests = 6
	// maxHandoverFlows is the maximum number of flows in one datagram.
	maxHandoverFlows = 40
)

// handleStop refuses new flows from now on, passes on what waits, and hands over the open flows.
func (m *Model) handleStop(now time.Time) {
	if !m.stopping {
		m.stopping = true
		m.closeQueue(now)
		m.handOver(now)
	}
	m.reportToAll(now)
}

// handOver sends the open flows to balancers, and those of which packets were offered to the
// backend server. Flows of which the incarnation of the backend server is not confirmed are
// sent without it.
func (m *Model) handOver(now time.Time) {
	if m.BackendEnded() {
		return
	}
	to := m.handoverBalancers(now, handoverCopies)
	if len(to) == 0 {
		return
	}
	var confirmed, unconfirmed []QueriedFlow
	for t, e := range m.flows {
		f := QueriedFlow{
			Tuple: t,
			Ack:   e.lastAck,
		}
		switch {
		case e.state == entryOpen && m.confirmable(e):
			confirmed = append(confirmed, f)
		case e.state == entryOpen:
			unconfirmed = append(unconfirmed, f)
		case e.offered > 0 && e.state != entryEnded:
			f.Offers = e.offered
			f.Unheld = e.state == entryUnheld
			unconfirmed = append(unconfirmed, f)
		}
	}
	m.emitHandover(to, confirmed, m.incarnation())
	// This one is sent even without a flow, as the next process learns from it that it was
	// restarted as planned.
	m.emitHandover(to, unconfirmed, 0)
	m.emit(LogEffect{
		Event: "agent is stopping; open flows are handed over to balancers",
		Count: len(confirmed) + len(unconfirmed),
	})
}

func (m *Model) emitHandover(to []netip.AddrPort, l []QueriedFlow, incarnation uint64) {
	slices.SortFunc(l, func(a, b QueriedFlow) int {
		return cmp.Compare(a.Tuple.Hash(0), b.Tuple.Hash(0))
	})
	emitOne := func(x []QueriedFlow) {
		m.emit(HandoverEffect{
			To:                 to,
			Flows:              slices.Clone(x),
			BackendIncarnation: incarnation,
		})
	}
	if len(l) == 0 && incarnation == 0 {
		emitOne(nil)
	}
	for x := range slices.Chunk(l, maxHandoverFlows) {
		emitOne(x)
	}
}

// requestHandover requests the flows of earlier processes from balancers that were not asked
// yet.
func (m *Model) requestHandover(now time.Time) {
	if m.KnowsAllFlows(now) {
		return
	}
	to := slices.DeleteFunc(m.handoverBalancers(now, handoverRequests), func(b netip.AddrPort) bool {
		return m.handoverRequested[b]
	})
	if len(to) == 0 {
		return
	}
	for _, b := range to {
		m.handoverRequested[b] = true
	}
	m.emit(HandoverRequestEffect{
		To: to,
	})
}

// handoverBalancers returns up to n balancers in an order that is the same for all processes
// of this agent and differs between agents.
func (m *Model) handoverBalancers(now time.Time, n int) []netip.AddrPort {
	rank := func(a netip.AddrPort) uint64 {
		return xxh3.HashString(m.config.Name + "/" + a.String())
	}
	l := m.subscribers.Known(now)
	slices.SortFunc(l, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	return l[:min(len(l), n)]
}

// handleHints adds flows that an earlier process of this agent has handed over or confirmed
// to a balancer, unless another incarnation of the backend server is known to run. They are
// open, or have ended since; then the backend server returns their next packet, and they are
// reset.
func (m *Model) handleHints(now time.Time, msg HintsMsg) {
	if msg.Handover {
		m.plannedRestart = true
	}
	present := m.incarnation()
	other := present != 0 && msg.BackendIncarnation != 0 && msg.BackendIncarnation != present
	if other || m.noBackend() || m.KnowsAllFlows(now) {
		return
	}
	added := 0
	for _, f := range msg.Flows {
		if m.flows[f.Tuple] != nil {
			continue
		}
		added++
		e := &entry{
			lastAck:           f.Ack,
			unverified:        true,
			hintedIncarnation: msg.BackendIncarnation,
		}
		e.offered = f.Offers
		switch {
		case f.Unheld:
			e.state = entryUnheld
		case f.Offers > 0:
			e.state = entryOffered
		default:
			e.markOpen(now)
		}
		m.addFlow(now, f.Tuple, e)
		m.stats.Hinted++
	}
	if added > 0 {
		m.emit(LogEffect{
			Event: "a balancer returned flows of an earlier process of this agent",
			Count: added,
		})
	}
}

// dropHints removes the flows that were hinted for an earlier incarnation of the backend
// server than the one that has sent its first heartbeat. The balancers that know them reset
// them.
func (m *Model) dropHints(now time.Time, incarnation uint64) {
	for t, e := range m.flows {
		if e.unverified && e.hintedIncarnation != 0 && e.hintedIncarnation < incarnation {
			m.removeFlow(now, t, e)
		}
	}
}
