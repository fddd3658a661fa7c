package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// deliver decides about a caller's packet.
func (m *Model) deliver(now time.Time, x DeliverMsg) {
	m.recordSender(now, x)
	switch {
	case x.Service != m.config.Service:
		m.reject(x, RejectOtherService)
	case x.Segment.SynAck():
		// Only backend servers accept flows; a caller's acceptance is forged.
		m.stats.Forged++
	case x.Segment.Initial():
		m.openFlow(now, x)
	default:
		m.continueFlow(now, x)
	}
}

// recordSender notes which balancer sent a packet; one that opens flow after flow here
// gets reports.
func (m *Model) recordSender(now time.Time, x DeliverMsg) {
	if !x.Segment.Initial() {
		m.subscribers.Add(now, x.From)
		return
	}
	if m.subscribers.FlowOpened(now, x.From, m.slotUse()) {
		m.sendReport([]netip.AddrPort{x.From})
	}
}

// openFlow decides about the first packet of a flow, or a copy of it.
func (m *Model) openFlow(now time.Time, x DeliverMsg) {
	e := m.flows[x.Segment.Tuple]
	if e != nil && e.firstSequence == x.Segment.Sequence && e.state != entryOffered && e.state != entryEnded {
		e.balancer = x.From
		m.forward(now, e, x)
		return
	}
	if r := m.refusal(now); r != 0 {
		m.reject(x, r)
		return
	}
	e = &entry{
		state:         entryOpening,
		balancer:      x.From,
		firstSequence: x.Segment.Sequence,
	}
	m.addFlow(now, x.Segment.Tuple, e)
	m.stats.Opened++
	m.forward(now, e, x)
}

// refusal returns why a new flow cannot be taken, or zero.
func (m *Model) refusal(now time.Time) RejectReason {
	switch {
	case m.stopping || m.server.draining:
		return RejectDraining
	case !m.server.ready || !m.server.mayOpen():
		return RejectDown
	case m.load.full(m.server.slots):
		return RejectFull
	case m.declared.MaxFlows > 0 && len(m.flows) >= m.declared.MaxFlows:
		return RejectFull
	case m.configured && m.declared.ColdRate <= 0:
		return 0
	case m.server.mayBeCold(now):
		if !m.coldBudget.Admit(now, m.coldRate()) {
			return RejectCold
		}
	default:
		m.coldBudget.Count(now)
	}
	return 0
}

// defaultColdRate is the flows a second for a backend server that may be cold while it
// is not known what it bears then: the slack that the users' rules leave to any.
const defaultColdRate = 5

func (m *Model) coldRate() float64 {
	if !m.configured {
		return defaultColdRate
	}
	return m.declared.ColdRate
}

// continueFlow decides about any later packet of a flow.
func (m *Model) continueFlow(now time.Time, x DeliverMsg) {
	e := m.flows[x.Segment.Tuple]
	switch {
	case e == nil:
		m.unknownFlow(now, x)
		return
	case e.state == entryOffered:
		e.balancer = x.From
		m.forward(now, e, x)
		return
	case e.state == entryOpening && x.Segment.Has(segment.Ack):
		// Another target accepted this flow: nothing was accepted here yet.
		m.reject(x, RejectNotHeld)
		return
	case e.state == entryAccepted && x.Segment.Has(segment.Ack) && !e.holds(x.Segment.Ack):
		m.reject(x, RejectNotHeld)
		return
	}
	e.balancer = x.From
	if e.state == entryAccepted {
		e.markOpen(now)
	}
	if x.Segment.Has(segment.Ack) {
		e.lastAck = x.Segment.Ack
	}
	if x.Segment.Length > 0 && !e.requestPending() {
		e.requestedAt = now
		m.load.begin(now)
	}
	m.recordEnd(e, x.Segment, &e.callerFin)
	m.forward(now, e, x)
}

// unknownFlow decides about a packet of a flow that is not in the table. While
// flows of the backend server may be missing there, it is handed over: the
// backend server returns what it does not hold.
func (m *Model) unknownFlow(now time.Time, x DeliverMsg) {
	if m.noBackend() || m.KnowsAllFlows(now) {
		m.reject(x, RejectNotHeld)
		return
	}
	e := &entry{
		state:    entryOffered,
		balancer: x.From,
		lastAck:  x.Segment.Ack,
	}
	m.addFlow(now, x.Segment.Tuple, e)
	m.stats.Offered++
	m.forward(now, e, x)
}

func (m *Model) forward(now time.Time, e *entry, x DeliverMsg) {
	e.lastPacket = now
	m.stats.ToBackend++
	m.emit(ToBackendEffect{
		Data: x.Data,
	})
}

// recordEnd notes a segment that ends one direction or the whole flow.
func (m *Model) recordEnd(e *entry, s segment.Segment, fin *bool) {
	if s.Has(segment.Fin) {
		*fin = true
	}
	if s.Has(segment.Rst) || (e.callerFin && e.backendFin) {
		m.finish(e)
	}
}

func (m *Model) finish(e *entry) {
	if e.requestPending() {
		e.requestedAt = time.Time{}
		m.load.abandon()
	}
	e.state = entryEnded
}
