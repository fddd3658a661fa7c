package holder

import "github.com/lentilshed/lentilshed/segment"

// The functions in this file keep how far the payload of a flow has come in both directions, so
// that retransmissions are not taken for requests and responses. They apply only if load-aware.

// notePassed records how far the caller's payload has gone to the backend server.
func (m *Model) notePassed(e *entry, s segment.Segment) {
	if !m.config.LoadAware || s.Length == 0 {
		return
	}
	end := s.Sequence + uint32(s.Length)
	if !e.hasPassed || segment.After(end, e.passedTo) {
		e.passedTo = end
		e.hasPassed = true
	}
}

// repeatsAnswered reports whether a packet only has payload that went to the backend server
// before its latest response began. It is a retransmission, and no request: it would hold a
// slot although the backend server does not work on it.
func (m *Model) repeatsAnswered(e *entry, s segment.Segment) bool {
	return m.config.LoadAware && e.hasPassed && e.started && e.answered && s.Length > 0 &&
		!segment.After(s.Sequence+uint32(s.Length), e.passedTo)
}

// sendsNew reports whether a packet of the backend server has payload that it has not sent
// before. If load-aware, a retransmitted end of the previous response is not taken for the
// response to the request in flight.
func (m *Model) sendsNew(e *entry, s segment.Segment) bool {
	if s.Length == 0 {
		return false
	}
	return !m.config.LoadAware || !e.hasSent || segment.After(s.Sequence+uint32(s.Length), e.sentTo)
}

// noteSent records how far the backend server has sent.
func (m *Model) noteSent(e *entry, s segment.Segment) {
	if !m.config.LoadAware || s.Has(segment.Rst) {
		// The sequence number of a reset need not be that of the flow.
		return
	}
	end := s.Sequence + uint32(s.Length)
	if s.Has(segment.Syn) {
		end++
	}
	if !e.hasSent || segment.After(end, e.sentTo) {
		e.sentTo = end
		e.hasSent = true
	}
}
