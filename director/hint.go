package director

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// hint is where a flow lives, as far as this balancer knows. Losing one costs
// a question.
type hint struct {
	member *member
	used   time.Time
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

func (h *hint) hasTried(x *member) bool {
	for _, t := range h.tried {
		if t == x {
			return true
		}
	}
	return false
}
