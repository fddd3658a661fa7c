package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// handleOutbound sends a packet of the backend server to its caller, unless it is a
// caller's packet that the backend server returned.
func (m *Model) handleOutbound(now time.Time, packet OutboundMsg) {
	m.server.lastPacket = now
	if packet.Segment.Has(segment.Undeliverable) {
		m.returned(now, packet)
		return
	}
	e := m.flows[packet.Segment.Tuple]
	if e == nil {
		e = rebuiltEntry(now, packet.Segment)
		m.addFlow(now, packet.Segment.Tuple, e)
		m.stats.Rebuilt++
	}
	if e.lastAck == 0 {
		// The caller acknowledges no more than this while the flow is open, and a reset
		// with a number close to its latest acknowledgement is accepted.
		e.lastAck = packet.Segment.Sequence
	}
	e.unverified = false
	e.bytes += uint32(packet.Segment.Length)
	e.lastPacket = now
	m.updateState(now, e, packet.Segment)
	if m.sendsNew(e, packet.Segment) && e.requestPending() {
		d := now.Sub(e.requestedAt)
		m.load.end(now, d)
		m.stats.countResponse(d)
		e.requestedAt = time.Time{}
		e.answered = true
		m.responseStarted(now, e)
	}
	m.noteSent(e, packet.Segment)
	m.outcomeServerPacket(now, e, packet.Segment)
	m.recordEnd(now, e, packet.Segment, &e.backendFin, endReset)
	m.stats.ToCaller++
	m.emit(ToCallerEffect(packet))
}

// rebuiltEntry returns the entry of a flow that was not in the table and of which the backend
// server has sent a packet. It is open, unless the packet is a SYN-ACK: another backend server
// may have accepted the same flow.
func rebuiltEntry(now time.Time, s segment.Segment) *entry {
	e := &entry{}
	if s.SynAck() {
		e.state = entrySynAckSent
		e.synAckSequence = s.Sequence
	} else {
		e.markOpen(now)
	}
	return e
}

// updateState updates the state of a flow after a packet from the backend server.
func (m *Model) updateState(now time.Time, e *entry, s segment.Segment) {
	switch {
	case s.SynAck():
		if e.state == entryOpening {
			e.state = entrySynAckSent
			e.synAckSequence = s.Sequence
		}
	case e.state == entryUnheld:
		e.markOpen(now)
	case e.state == entryOffered:
		e.markOpen(now)
		m.emit(ReplyEffect{
			To:   e.balancer,
			Held: []flow.Tuple{s.Tuple},
		})
	}
}

// returned handles a caller's packet that the backend server returned, because it did
// not accept the flow or does not hold it. If the flow was open, it is reset; if it
// was not open yet, the packet goes back to the balancer. Packets of flows that have
// ended or are not in the table, and first packets of flows that were accepted
// meanwhile, are dropped.
func (m *Model) returned(now time.Time, packet OutboundMsg) {
	e := m.flows[packet.Segment.Tuple]
	if e == nil {
		return
	}
	m.stats.Returned++
	d := DeliverMsg{
		From:    e.balancer,
		Segment: packet.Segment,
		Data:    packet.Data,
	}
	d.Segment.Flags &^= segment.Undeliverable
	switch {
	case packet.Segment.Has(segment.Syn):
		if e.state == entryOpening {
			m.removeFlow(now, packet.Segment.Tuple, e)
			m.reject(d, RejectFull)
		}
	case e.state == entryOpen:
		m.removeFlow(now, packet.Segment.Tuple, e)
		m.server.lostFlow = m.server.lostFlow || !e.wasIdle
		m.lostByBackend(packet.Segment)
	case e.state == entryEnded, e.state == entryUnheld:
	default:
		m.endExpectation(e)
		e.state = entryUnheld
		m.reject(d, RejectNotHeld)
	}
}

// lostByBackend resets a flow that was open at this backend server and that it no
// longer holds.
func (m *Model) lostByBackend(s segment.Segment) {
	m.stats.Reset++
	m.emit(ResetEffect{
		Tuple:    s.Tuple,
		Sequence: s.Ack,
		Cause:    CauseBackendLostFlow,
	})
}
