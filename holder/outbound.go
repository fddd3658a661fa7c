package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// outbound decides about a packet that the backend server sent.
func (m *Model) outbound(now time.Time, x OutboundMsg) {
	m.server.lastPacket = now
	if x.Segment.Has(segment.Undeliverable) {
		m.returned(x)
		return
	}
	e := m.flows[x.Segment.Tuple]
	if e == nil {
		e = &entry{}
		e.markOpen(now)
		m.addFlow(now, x.Segment.Tuple, e)
		m.stats.Rebuilt++
	}
	e.lastPacket = now
	e.lastResponse = now
	m.updateState(now, e, x.Segment)
	if x.Segment.Length > 0 && e.requestPending() {
		m.load.end(now, now.Sub(e.requestedAt))
		m.stats.countResponse(now.Sub(e.requestedAt))
		e.requestedAt = time.Time{}
	}
	m.recordEnd(e, x.Segment, &e.backendFin)
	m.stats.ToCaller++
	m.emit(ToCallerEffect(x))
}

// updateState draws from a packet of the backend server what state its flow is in.
func (m *Model) updateState(now time.Time, e *entry, s segment.Segment) {
	switch {
	case s.SynAck():
		if e.state == entryOpening {
			e.state = entryAccepted
			e.acceptedSequence = s.Sequence
		}
	case e.state == entryOffered:
		e.markOpen(now)
		m.emit(ReplyEffect{
			To:   e.balancer,
			Held: []flow.Tuple{s.Tuple},
		})
	}
}

// returned decides about a packet that the backend server could not take.
func (m *Model) returned(x OutboundMsg) {
	e := m.flows[x.Segment.Tuple]
	if e == nil {
		return
	}
	m.stats.Returned++
	d := DeliverMsg{
		From:    e.balancer,
		Segment: x.Segment,
		Data:    x.Data,
	}
	d.Segment.Flags &^= segment.Undeliverable
	switch {
	case x.Segment.Has(segment.Syn):
		if e.state == entryOpening {
			m.removeFlow(x.Segment.Tuple, e)
			m.reject(d, RejectFull)
		}
	case e.state == entryOpen:
		m.removeFlow(x.Segment.Tuple, e)
		m.lostByBackend(x.Segment)
	case e.state == entryEnded:
	default:
		m.removeFlow(x.Segment.Tuple, e)
		m.reject(d, RejectNotHeld)
	}
}

// lostByBackend ends a flow that was open at this backend server and is held by it
// no more.
func (m *Model) lostByBackend(s segment.Segment) {
	m.server.lostFlow = true
	m.stats.Reset++
	m.emit(ResetEffect{
		Tuple:    s.Tuple,
		Sequence: s.Ack,
		Cause:    CauseBackendLostFlow,
	})
}
