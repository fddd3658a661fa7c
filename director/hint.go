package director

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// hint is where a flow lives, as far as this balancer knows. Losing one costs
// a question.
type hint struct {
	member *member
	used   time.Time
	// ack is the caller's newest acknowledgement; opened is set once there was
	// one, and closing once the caller ends the flow.
	ack     uint32
	opened  bool
	closing bool
	// foreign is set until a packet of the flow passes here.
	foreign bool
	// first is the sequence number of the first packet while the flow opens.
	first uint32
	// tried are the agents that refused the new flow.
	tried []*member
}

// remember notes where a flow lives.
func (m *Model) remember(t flow.Tuple, h *hint) {
	if len(m.hints) >= m.config.MaxHints {
		for k := range m.hints {
			delete(m.hints, k)
			break
		}
	}
	m.hints[t] = h
}

// note learns from a packet of a flow that has opened.
func (h *hint) note(now time.Time, s segment.Segment) {
	h.used = now
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
