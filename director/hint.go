package director

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// hint caches which agent holds a flow. Losing one costs a lookup.
type hint struct {
	member   *member
	lastUsed time.Time
	// addedAt is when the hint was added.
	addedAt time.Time
	// ack is the latest acknowledgement number that the caller sent. opened is set once
	// there was one, closing once the caller has sent FIN or RST.
	ack     uint32
	opened  bool
	closing bool
	// foreign is set for a flow whose packets another balancer forwarded, until this
	// one receives a packet of the flow.
	foreign bool
	// incarnation is the incarnation of the member's backend server that is known to hold
	// the flow, or zero.
	incarnation uint64
	// firstSequence is the sequence number of the first packet while the flow opens.
	firstSequence uint32
	// tried has the agents that refused the new flow.
	tried []*member
	// deferred has those among them at which it would wait, and waits is set once it is sent
	// to them again.
	deferred []*member
	waits    bool
	// cold is set once a target has returned the new flow as cold.
	cold bool
}

// putHint caches the location of a flow. At the limit it evicts an arbitrary hint.
func (m *Model) putHint(t flow.Tuple, h *hint) {
	if len(m.hints) >= m.config.MaxHints {
		for k := range m.hints {
			delete(m.hints, k)
			break
		}
	}
	m.hints[t] = h
}

// update refreshes the hint by a packet of the flow.
func (h *hint) update(now time.Time, s segment.Segment) {
	h.lastUsed = now
	h.foreign = false
	if s.Has(segment.Ack) {
		h.ack = s.Ack
		h.opened = true
	}
	if s.Flags&(segment.Fin|segment.Rst) != 0 {
		h.closing = true
	}
}

// ended reports whether the flow is known to have ended: a later incarnation of the
// backend server that held it has been reported.
func (h *hint) ended() bool {
	return h.incarnation != 0 && h.member.reportedIncarnation > h.incarnation
}

// maxAckAdvance bounds how far a packet's acknowledgement number may be ahead of the
// latest known one of the same flow, in bytes.
const maxAckAdvance = 1 << 22

// sameFlow reports whether a packet belongs to the flow of the hint, and not to a later
// one of the same addresses and ports, whose numbers are unrelated.
func (h *hint) sameFlow(s segment.Segment) bool {
	return s.Has(segment.Ack) && s.Ack-h.ack < maxAckAdvance
}

func (h *hint) hasTried(x *member) bool {
	for _, t := range h.tried {
		if t == x {
			return true
		}
	}
	return false
}
