package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// handleDeliver decides about a caller's packet.
func (m *Model) handleDeliver(now time.Time, packet DeliverMsg) {
	m.recordSender(now, packet)
	switch {
	case packet.Service != m.config.Service:
		m.reject(packet, RejectOtherService)
	case packet.Segment.SynAck():
		// Only backend servers accept flows; a caller's acceptance is forged.
		m.stats.Forged++
	case packet.Segment.Initial():
		m.openFlow(now, packet)
	default:
		m.continueFlow(now, packet)
	}
}

// recordSender records which balancer sent a packet. A balancer that opens several
// flows here within ReportLease gets reports.
func (m *Model) recordSender(now time.Time, packet DeliverMsg) {
	if !packet.Segment.Initial() {
		m.subscribers.Add(now, packet.From)
		return
	}
	if m.subscribers.FlowOpened(now, packet.From, m.slotUse()) {
		m.sendReport([]netip.AddrPort{packet.From})
	}
}

// openFlow decides about the first packet of a flow, or a retransmission of it.
func (m *Model) openFlow(now time.Time, packet DeliverMsg) {
	e := m.flows[packet.Segment.Tuple]
	if e != nil && e.firstSequence == packet.Segment.Sequence && e.state != entryOffered && e.state != entryEnded {
		e.balancer = packet.From
		m.forward(now, e, packet)
		return
	}
	if r := m.refusal(now); r != 0 {
		m.reject(packet, r)
		return
	}
	e = &entry{
		state:         entryOpening,
		balancer:      packet.From,
		firstSequence: packet.Segment.Sequence,
	}
	m.addFlow(now, packet.Segment.Tuple, e)
	m.stats.Opened++
	m.forward(now, e, packet)
}

// refusal returns the reason why a new flow cannot be admitted, or zero.
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

// defaultColdRate is the number of new flows a second that a possibly cold backend
// server gets while its declared rate is not known. It is the tolerance that the
// users' rules grant to every backend server.
const defaultColdRate = 5

func (m *Model) coldRate() float64 {
	if !m.configured {
		return defaultColdRate
	}
	return m.declared.ColdRate
}

// continueFlow decides about any later packet of a flow.
func (m *Model) continueFlow(now time.Time, packet DeliverMsg) {
	e := m.flows[packet.Segment.Tuple]
	switch {
	case e == nil:
		m.unknownFlow(now, packet)
		return
	case e.state == entryOffered:
		e.balancer = packet.From
		m.forward(now, e, packet)
		return
	case e.state == entryOpening && packet.Segment.Has(segment.Ack):
		// The caller acknowledges an acceptance, and this backend server has sent
		// none: another target accepted the flow.
		m.reject(packet, RejectNotHeld)
		return
	case e.state == entryAccepted && packet.Segment.Has(segment.Ack) && !e.holds(packet.Segment.Ack):
		m.reject(packet, RejectNotHeld)
		return
	}
	e.balancer = packet.From
	if e.state == entryAccepted {
		e.markOpen(now)
	}
	if packet.Segment.Has(segment.Ack) {
		e.lastAck = packet.Segment.Ack
	}
	if packet.Segment.Length > 0 && !e.requestPending() {
		e.requestedAt = now
		m.load.begin(now)
	}
	m.recordEnd(e, packet.Segment, &e.callerFin)
	m.forward(now, e, packet)
}

// unknownFlow decides about a packet of a flow that is not in the table. While
// the table may lack flows of the backend server, the packet is sent to it: it returns
// packets of flows that it does not hold.
func (m *Model) unknownFlow(now time.Time, packet DeliverMsg) {
	if m.noBackend() || m.KnowsAllFlows(now) {
		m.reject(packet, RejectNotHeld)
		return
	}
	e := &entry{
		state:    entryOffered,
		balancer: packet.From,
		lastAck:  packet.Segment.Ack,
	}
	m.addFlow(now, packet.Segment.Tuple, e)
	m.stats.Offered++
	m.forward(now, e, packet)
}

func (m *Model) forward(now time.Time, e *entry, packet DeliverMsg) {
	e.lastPacket = now
	m.stats.ToBackend++
	m.emit(ToBackendEffect{
		Data: packet.Data,
	})
}

// recordEnd records a segment that ends one direction or the whole flow.
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
