package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// handleDeliver forwards a caller's packet to the backend server, returns it to the
// balancer, or drops it.
func (m *Model) handleDeliver(now time.Time, packet DeliverMsg) {
	m.recordSender(now, packet)
	switch {
	case packet.Service != m.config.Service:
		m.reject(packet, RejectOtherService)
	case packet.Segment.SynAck():
		// Only backend servers send SYN-ACK.
		m.stats.Forged++
	case packet.Segment.Initial():
		m.openFlow(now, packet)
	default:
		m.continueFlow(now, packet)
	}
}

// recordSender records in the table of subscribers which balancer sent a packet. The
// first packet of a flow, also of one that is refused, may subscribe the balancer and
// get it a report; any other packet only shows that the balancer is running.
func (m *Model) recordSender(now time.Time, packet DeliverMsg) {
	if !packet.Segment.Initial() {
		m.subscribers.Add(now, packet.From)
		return
	}
	if m.subscribers.FlowOpened(now, packet.From, m.slotUse()) {
		m.sendReport([]netip.AddrPort{packet.From}, false)
	}
}

// openFlow forwards the first packet of a flow or a retransmission of it, or returns it
// if the flow cannot be admitted.
func (m *Model) openFlow(now time.Time, packet DeliverMsg) {
	e := m.flows[packet.Segment.Tuple]
	if e != nil && e.firstSequence == packet.Segment.Sequence && e.state != entryOffered && e.state != entryEnded && e.state != entryUnheld {
		e.balancer = packet.From
		m.forward(now, e, packet)
		return
	}
	if r := m.refusal(now, packet); r != 0 {
		m.recordRefusal(now, packet, r)
		m.reject(packet, r)
		return
	}
	e = &entry{
		state:         entryOpening,
		balancer:      packet.From,
		firstSequence: packet.Segment.Sequence,
		openedAge:     packet.Segment.Age(),
	}
	m.addFlow(now, packet.Segment.Tuple, e)
	m.expectRequest(e)
	m.recordAdmission(now, e, packet)
	m.stats.Opened++
	m.forward(now, e, packet)
}

// refusal returns the reason why a new flow cannot be admitted, or zero. A flow that is
// admitted counts against the cold budget, unless the rate of cold backend servers is
// unlimited.
func (m *Model) refusal(now time.Time, packet DeliverMsg) RejectReason {
	switch {
	case m.stopping || m.server.draining:
		return RejectDraining
	case !m.server.ready || !m.server.mayOpen():
		return RejectDown
	}
	if r := m.refusalByLoad(now, packet); r != 0 {
		return r
	}
	switch {
	case m.configured && m.declared.ColdRate <= 0:
		// The declared rate is unlimited.
		return 0
	case m.server.mayBeCold(now):
		if !m.admitsCold(now, packet) {
			return RejectCold
		}
	default:
		m.coldBudget.Count(now)
	}
	return 0
}

// refusalByLoad returns the reason why a new flow is returned because of the load, or zero.
func (m *Model) refusalByLoad(now time.Time, packet DeliverMsg) RejectReason {
	tooMany := m.declared.MaxFlows > 0 && m.Flows() >= m.declared.MaxFlows
	switch {
	case tooMany || m.load.full(m.server.slots):
		return RejectFull
	case m.config.LoadAware:
		return m.refusalByDelay(now, packet)
	case m.deferFlow(now, packet.Segment.Tuple):
		return RejectBusy
	}
	return 0
}

// DefaultColdRate is the number of new flows a second that a possibly cold backend
// server gets while its declared rate is not known. The users' rules allow each cold
// backend server this many flows a second above its declared rate.
const DefaultColdRate = 5

// coldRate returns the number of new flows a second that a possibly cold backend server
// gets.
func (m *Model) coldRate() float64 {
	if !m.configured {
		return DefaultColdRate
	}
	return m.declared.ColdRate
}

// continueFlow forwards a later packet of a flow, or returns it if the backend server
// is known not to hold the flow.
func (m *Model) continueFlow(now time.Time, packet DeliverMsg) {
	e := m.flows[packet.Segment.Tuple]
	switch {
	case e == nil:
		m.unknownFlow(now, packet)
		return
	case e.state == entryUnheld:
		m.reject(packet, RejectNotHeld)
		return
	case e.state == entryOffered:
		m.offerAgain(now, e, packet)
		return
	case e.state == entryOpening && packet.Segment.Has(segment.Ack):
		// The caller acknowledges a SYN-ACK, and this backend server has sent none:
		// another target accepted the flow.
		m.reject(packet, RejectNotHeld)
		return
	case e.state == entrySynAckSent && packet.Segment.Has(segment.Ack) && !e.holds(packet.Segment.Ack):
		m.reject(packet, RejectNotHeld)
		return
	}
	e.balancer = packet.From
	e.class = packet.Class
	e.wasIdle = m.isIdle(now, e)
	if e.state == entrySynAckSent {
		e.markOpen(now)
	}
	if packet.Segment.Has(segment.Ack) {
		e.lastAck = packet.Segment.Ack
	}
	if m.config.LoadAware && packet.Segment.Length > 0 {
		m.endExpectation(e)
	}
	if m.config.LoadAware && m.hold(now, e, packet) {
		return
	}
	m.passOn(now, e, packet)
}

// passOn forwards a later packet of a flow that the backend server holds.
func (m *Model) passOn(now time.Time, e *entry, packet DeliverMsg) {
	t := packet.Segment.Tuple
	m.outcomeCallerPacket(e, packet.Segment)
	if m.beginsRequest(e, packet.Segment) {
		m.finishRequest(now, e, endResponse)
		e.requestedAt = now
		m.load.begin(now)
		m.endExpectation(e)
		e.started = true
		e.answered = false
		m.requestStarted(now, t, e)
	}
	end := endAbandoned
	if e.backendFin {
		end = endReset
	}
	m.recordEnd(now, e, packet.Segment, &e.callerFin, end)
	m.notePassed(e, packet.Segment)
	m.noteForwarder(t, e)
	m.forward(now, e, packet)
}

// beginsRequest reports whether a packet of the caller that goes to the backend server begins a
// request there. If load-aware, late packets of a flow that has ended do not: they would use a
// slot although the backend server discards them.
func (m *Model) beginsRequest(e *entry, s segment.Segment) bool {
	if s.Length == 0 || e.requestPending() {
		return false
	}
	return !m.config.LoadAware || e.state != entryEnded && !m.repeatsAnswered(e, s)
}

// finishRequest ends the started request of a flow, if there is one. Once its response has
// begun, its end is endResponse.
func (m *Model) finishRequest(now time.Time, e *entry, end requestEnd) {
	if !e.started {
		return
	}
	e.started = false
	if e.answered {
		end = endResponse
	}
	m.requestFinished(now, e, end)
}

// unknownFlow handles a packet of a flow that is not in the table. While the table may
// lack flows of the backend server, the packet is sent to the backend server, which
// returns it to this agent if it does not hold the flow. Otherwise the packet is
// returned to the balancer at once.
func (m *Model) unknownFlow(now time.Time, packet DeliverMsg) {
	if m.noBackend() || m.KnowsAllFlows(now) {
		m.reject(packet, RejectNotHeld)
		return
	}
	e := &entry{
		state:    entryOffered,
		balancer: packet.From,
		lastAck:  packet.Segment.Ack,
		offered:  1,
	}
	m.addFlow(now, packet.Segment.Tuple, e)
	m.stats.Offered++
	m.forward(now, e, packet)
}

// maxOfferedPackets is the maximum number of packets of a flow that go to a backend server
// that neither accepts nor returns them. It may hold the half of a handshake that another
// one completed, and a third packet of a live flow would count as misrouting it, whichever
// balancers send them.
const maxOfferedPackets = 2

// offerAgain forwards another packet of a flow of which the backend server has not returned
// the first, or drops it.
func (m *Model) offerAgain(now time.Time, e *entry, packet DeliverMsg) {
	if e.offered >= maxOfferedPackets {
		return
	}
	e.offered++
	e.balancer = packet.From
	m.forward(now, e, packet)
}

func (m *Model) forward(now time.Time, e *entry, packet DeliverMsg) {
	e.lastPacket = now
	m.stats.ToBackend++
	m.emit(ToBackendEffect{
		Data: packet.Data,
	})
}

// recordEnd checks any segment for a FIN or RST, and ends the flow after an RST or once
// both directions are closed. fin is the flag of the segment's direction.
// end is how a request that has no response yet has ended then.
func (m *Model) recordEnd(now time.Time, e *entry, s segment.Segment, fin *bool, end requestEnd) {
	if s.Has(segment.Fin) {
		*fin = true
	}
	if s.Has(segment.Rst) || (e.callerFin && e.backendFin) {
		m.finish(now, e, end)
	}
}

// finish marks a flow as ended and removes its request in flight or waiting.
func (m *Model) finish(now time.Time, e *entry, end requestEnd) {
	m.dropHeld(e)
	m.finishRequest(now, e, end)
	if e.requestPending() {
		e.requestedAt = time.Time{}
		m.load.abandon()
	}
	m.endExpectation(e)
	m.load.flowEnded(e)
	e.state = entryEnded
}
