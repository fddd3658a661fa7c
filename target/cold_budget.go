package target

import "time"

// ColdBudget bounds the flows that a cold target is given in any second. It
// counts exactly, because all flows of a target pass its agent.
type ColdBudget struct {
	admitted []time.Time
	// spentUntil is the end of the second that an earlier life may have spent.
	spentUntil time.Time
}

// NewColdBudget returns the budget of an agent that has just started: what an
// earlier life gave in the last second is not known, so that second is spent.
func NewColdBudget(now time.Time) *ColdBudget {
	return &ColdBudget{
		spentUntil: now.Add(time.Second),
	}
}

// Admit reports whether a cold target that bears rate flows a second may get
// one more, and counts it.
func (b *ColdBudget) Admit(now time.Time, rate float64) bool {
	if now.Before(b.spentUntil) {
		return false
	}
	b.expire(now)
	if float64(len(b.admitted))+1 > max(rate, 1) {
		return false
	}
	b.Count(now)
	return true
}

// Count adds a flow that was given without asking.
func (b *ColdBudget) Count(now time.Time) {
	b.expire(now)
	b.admitted = append(b.admitted, now)
}

func (b *ColdBudget) expire(now time.Time) {
	n := 0
	for n < len(b.admitted) && now.Sub(b.admitted[n]) > time.Second {
		n++
	}
	b.admitted = b.admitted[:copy(b.admitted, b.admitted[n:])]
}
