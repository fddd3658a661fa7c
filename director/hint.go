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
	// ack is the latest acknowledgement number that the caller sent. opened is set once
	// there was one, closing once the caller has sent FIN or RST.
	ack     uint32
	opened  bool
	closing bool
	// foreign is set for a flow whose packets another balancer forwarded, until this
	// one receives a packet of the flow.
	foreign bool
	// firstSequence is the sequence number of the first packet while the flow opens.
	firstSequence uint32
	// tried has the agents that refused the new flow.
	tried []*member
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

func (h *hint) hasTried(x *member) bool {
	for _, t := range h.tried {
		if t == x {
			return true
		}
	}
	return false
}
