package holder

import "time"

const (
	// handshakeWait is the time for which a stopping agent expects the caller's next
	// packet of a flow whose handshake is under way: some round trips.
	handshakeWait = 300 * time.Millisecond
	// answerGap is the silence of the backend server after which an answer of several
	// packets counts as complete: some round trips to the caller.
	answerGap = 20 * time.Millisecond
)

// Quiet reports whether no caller waits for the backend server: no request is in flight
// or waits here, no handshake is under way, and no answer is being transferred. An agent that is
// asked to stop under load ends at such a moment, so that accepted requests get their answers.
func (m *Model) Quiet(now time.Time) bool {
	if m.load.requestsPending() || m.schedule.queue.Len() > 0 || now.Sub(m.server.lastPacket) < answerGap {
		return false
	}
	for _, e := range m.flows {
		opening := e.state == entryOpening || e.state == entrySynAckSent
		if opening && now.Sub(e.lastPacket) < handshakeWait {
			return false
		}
	}
	return true
}
