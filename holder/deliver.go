package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// deliver decides about a caller's packet.
func (m *Model) deliver(now time.Time, x DeliverMsg) {
	m.listen(now, x)
	switch {
	case x.Service != m.config.Service:
		m.reject(x, RejectOtherService)
	case x.Segment.SynAck():
		// Only backend servers accept flows; a caller's acceptance is forged.
		m.stats.Forged++
	case x.Segment.Initial():
		m.open(now, x)
	default:
		m.continueFlow(now, x)
	}
}

// listen notes which balancer sent a packet; one that opens flow after flow here
// gets reports.
func (m *Model) listen(now time.Time, x DeliverMsg) {
	if !x.Segment.Initial() {
		m.audience.Add(now, x.From)
		return
	}
	if m.audience.FlowOpened(now, x.From, m.use()) {
		m.tell([]netip.AddrPort{x.From})
	}
}

// open decides about the first packet of a flow, or a copy of it.
func (m *Model) open(now time.Time, x DeliverMsg) {
	e := m.flows[x.Segment.Tuple]
	if e != nil && e.first == x.Segment.Sequence && e.state != entryOffered && e.state != entryEnded {
		e.via = x.From
		m.pass(now, e, x)
		return
	}
	if r := m.admission(now); r != 0 {
		m.reject(x, r)
		return
	}
	e = &entry{
		state: entryOpening,
		via:   x.From,
		first: x.Segment.Sequence,
	}
	m.remember(now, x.Segment.Tuple, e)
	m.stats.Opened++
	m.pass(now, e, x)
}

// admission returns why a new flow cannot be taken, or zero.
func (m *Model) admission(now time.Time) RejectReason {
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
		if !m.cold.Admit(now, m.coldRate()) {
			return RejectCold
		}
	default:
		m.cold.Count(now)
	}
	return 0
}

// unknownColdRate is the flows a second for a backend server that may be cold while it
// is not known what it bears then: the slack that the users' rules leave to any.
const unknownColdRate = 5

func (m *Model) coldRate() float64 {
	if !m.configured {
		return unknownColdRate
	}
	return m.declared.ColdRate
}

// continueFlow decides about any later packet of a flow.
func (m *Model) continueFlow(now time.Time, x DeliverMsg) {
	e := m.flows[x.Segment.Tuple]
	switch {
	case e == nil:
		m.unknown(now, x)
		return
	case e.state == entryOffered:
		e.via = x.From
		m.pass(now, e, x)
		return
	case e.state == entryOpening && x.Segment.Has(segment.Ack):
		// Another target accepted this flow: nothing was accepted here yet.
		m.reject(x, RejectNotHeld)
		return
	case e.state == entryAccepted && x.Segment.Has(segment.Ack) && !e.holds(x.Segment.Ack):
		m.reject(x, RejectNotHeld)
		return
	}
	e.via = x.From
	if e.state == entryAccepted {
		e.open(now)
	}
	if x.Segment.Has(segment.Ack) {
		e.lastAck = x.Segment.Ack
	}
	if x.Segment.Length > 0 && !e.working() {
		e.asked = now
		m.load.begin(now)
	}
	m.endOf(e, x.Segment, &e.callerFin)
	m.pass(now, e, x)
}

// unknown decides about a packet of a flow that is not in the table. While
// flows of the backend server may be missing there, it is handed over: the
// backend server returns what it does not hold.
func (m *Model) unknown(now time.Time, x DeliverMsg) {
	if m.nobody() || m.KnowsAllFlows(now) {
		m.reject(x, RejectNotHeld)
		return
	}
	e := &entry{
		state:   entryOffered,
		via:     x.From,
		lastAck: x.Segment.Ack,
	}
	m.remember(now, x.Segment.Tuple, e)
	m.stats.Offered++
	m.pass(now, e, x)
}

func (m *Model) pass(now time.Time, e *entry, x DeliverMsg) {
	e.seen = now
	m.stats.ToBackend++
	m.emit(ToBackendEffect{
		Data: x.Data,
	})
}

// endOf notes a segment that ends one direction or the whole flow.
func (m *Model) endOf(e *entry, s segment.Segment, fin *bool) {
	if s.Has(segment.Fin) {
		*fin = true
	}
	if s.Has(segment.Rst) || (e.callerFin && e.targetFin) {
		m.finish(e)
	}
}

func (m *Model) finish(e *entry) {
	if e.working() {
		e.asked = time.Time{}
		m.load.abandon()
	}
	e.state = entryEnded
}
