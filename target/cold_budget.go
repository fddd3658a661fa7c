package target

import "time"

// ColdBudget limits the flows that are admitted to a cold target in any second. It
// counts exactly, because all flows of a target pass its agent.
type ColdBudget struct {
	// admitted has the times of the flows admitted within the last second.
	admitted []time.Time
	// spentUntil is the time before which Admit admits no flow, because an earlier
	// incarnation of the agent may have spent the budget.
	spentUntil time.Time
	// resumed is set once the agent was paused: it may have spent the budget itself.
	resumed bool
}

// NewColdBudget returns the budget of an agent that has just started. How many flows an
// earlier incarnation of the agent admitted in the last second is not known, so Admit
// admits none for a second.
func NewColdBudget(now time.Time) *ColdBudget {
	return &ColdBudget{
		spentUntil: now.Add(time.Second),
	}
}

// Resume makes Admit admit no flow for a second after the agent was paused: the target may
// just have got flows that were admitted before the pause.
func (b *ColdBudget) Resume(now time.Time) {
	b.spentUntil = now.Add(time.Second)
	b.resumed = true
}

// Admit reports whether a cold target that can handle rate new flows a second may get
// one more now, and if so, counts that flow. A rate below one counts as one.
func (b *ColdBudget) Admit(now time.Time, rate float64) bool {
	return b.AdmitBeside(now, rate, 0)
}

// AdmitBeside is like Admit, but leaves a part of the rate for other flows.
func (b *ColdBudget) AdmitBeside(now time.Time, rate, reserved float64) bool {
	if now.Before(b.spentUntil) {
		return false
	}
	b.expire(now)
	if float64(len(b.admitted))+1+reserved > max(rate, 1) {
		return false
	}
	b.Count(now)
	return true
}

// Count counts a flow that was admitted without Admit.
func (b *ColdBudget) Count(now time.Time) {
	b.expire(now)
	b.admitted = append(b.admitted, now)
}

// MarkUnspent ends the time after the start in which Admit admits no flow, once it is known
// that no earlier incarnation of the agent has sent flows to the target. It has no effect after
// Resume.
func (b *ColdBudget) MarkUnspent() {
	if !b.resumed {
		b.spentUntil = time.Time{}
	}
}

func (b *ColdBudget) expire(now time.Time) {
	n := 0
	for n < len(b.admitted) && now.Sub(b.admitted[n]) > time.Second {
		n++
	}
	b.admitted = b.admitted[:copy(b.admitted, b.admitted[n:])]
}
