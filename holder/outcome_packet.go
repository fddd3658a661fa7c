package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/segment"
)

// requestPacket says what a caller's packet with payload is that begins a request by the load.
type requestPacket uint8

const (
	packetNone requestPacket = iota
	packetNew
	// packetRepeated means that the packet belongs to the request before: the caller has not
	// received its response, or has not sent all of the request.
	packetRepeated
	// packetUnknown means that the flow is older than this process, so the packet may repeat
	// one that was answered before.
	packetUnknown
)

// outcomeCallerPacket compares a caller's packet that goes to the backend server with those
// before. A request that is sent again gets no response if the caller's acknowledgement was
// lost, and the backend server must not be taken for failing then.
func (m *Model) outcomeCallerPacket(e *entry, s segment.Segment) {
	if !m.config.LoadAware || s.Length == 0 {
		return
	}
	o := &e.outcome
	if !o.callerKnown && e.firstSequence != 0 {
		o.callerKnown = true
		o.requestEnd = e.firstSequence + 1
	}
	end := s.Sequence + uint32(s.Length)
	packet := packetNew
	switch {
	case !o.callerKnown || !s.Has(segment.Ack):
		packet = packetUnknown
	case !segment.After(end, o.requestEnd), o.length > 0 && segment.After(o.responseBegin+o.length, s.Ack):
		packet = packetRepeated
	}
	if !o.callerKnown || segment.After(end, o.requestEnd) {
		o.callerKnown = true
		o.requestEnd = end
	}
	if e.requestPending() {
		return
	}
	o.packet = packet
	if packet == packetNew {
		// The caller has received all of the response before.
		o.responseBegin = s.Ack
	}
}

// outcomeServerPacket counts the payload of a response. One that comes after the caller has left
// counts neither as good nor as failed.
func (m *Model) outcomeServerPacket(now time.Time, e *entry, s segment.Segment) {
	o := &e.outcome
	if o.state == outcomeNone {
		return
	}
	if end := s.Sequence + uint32(s.Length); s.Length > 0 && segment.After(end, o.responseBegin+o.length) {
		o.length = end - o.responseBegin
		m.responseGrew(now, e)
	}
	if s.Has(segment.Rst) && o.state == outcomeWaiting {
		m.resetWhileWaiting(now, e)
	}
}

// responseGrew decides the outcome of a request whose response has begun, unless the response may
// still turn out to be short.
func (m *Model) responseGrew(now time.Time, e *entry) {
	o := &e.outcome
	switch o.state {
	case outcomeWaiting:
		if e.callerFin {
			o.state = outcomeNone
			return
		}
		o.wait = now.Sub(m.startedAt) - o.startedAt
		if o.baseline.Fast(o.wait) && o.baseline.Short(o.length) {
			o.state = outcomeSuspect
			return
		}
	case outcomeSuspect:
		if o.baseline.Short(o.length) {
			return
		}
	default:
		return
	}
	o.state = outcomeGood
	m.recordOutcome(now, false)
}

// resetWhileWaiting counts a reset of a flow with a request as a failure, unless one end has closed
// the flow before, or it was idle for so long that the backend server may have discarded it.
func (m *Model) resetWhileWaiting(now time.Time, e *entry) {
	e.outcome.state = outcomeNone
	if !e.callerFin && !e.backendFin && !e.wasIdle {
		m.recordFailure(now, outlier.FailureReset)
	}
}
