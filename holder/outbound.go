package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// outbound decides about a packet that the backend server sent.
func (m *Model) outbound(now time.Time, x OutboundMsg) {
	m.server.sentAt = now
	if x.Segment.Has(segment.Undeliverable) {
		m.returned(x)
		return
	}
	e := m.flows[x.Segment.Tuple]
	if e == nil {
		e = &entry{}
		e.open(now)
		m.remember(now, x.Segment.Tuple, e)
		m.stats.Rebuilt++
	}
	e.seen = now
	e.answered = now
	m.learn(now, e, x.Segment)
	if x.Segment.Length > 0 && e.working() {
		m.load.end(now, now.Sub(e.asked))
		m.stats.answered(now.Sub(e.asked))
		e.asked = time.Time{}
	}
	m.endOf(e, x.Segment, &e.targetFin)
	m.stats.ToCaller++
	m.emit(ToCallerEffect(x))
}

// learn draws from a packet of the backend server what state its flow is in.
func (m *Model) learn(now time.Time, e *entry, s segment.Segment) {
	switch {
	case s.SynAck():
		if e.state == entryOpening {
			e.state = entryAccepted
			e.accepted = s.Sequence
		}
	case e.state == entryOffered:
		e.open(now)
		m.emit(ReplyEffect{
			To:   e.via,
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
		From:    e.via,
		Segment: x.Segment,
		Data:    x.Data,
	}
	d.Segment.Flags &^= segment.Undeliverable
	switch {
	case x.Segment.Has(segment.Syn):
		if e.state == entryOpening {
			m.forget(x.Segment.Tuple, e)
			m.reject(d, RejectFull)
		}
	case e.state == entryOpen:
		m.forget(x.Segment.Tuple, e)
		m.forgotten(x.Segment)
	case e.state == entryEnded:
	default:
		m.forget(x.Segment.Tuple, e)
		m.reject(d, RejectNotHeld)
	}
}

// forgotten ends a flow that was open at this backend server and is held by it
// no more.
func (m *Model) forgotten(s segment.Segment) {
	m.server.forgetful = true
	m.stats.Reset++
	m.emit(ResetEffect{
		Tuple:    s.Tuple,
		Sequence: s.Ack,
		Cause:    CauseBackendLostFlow,
	})
}
