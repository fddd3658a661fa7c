package placement

import (
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

const (
	// defaultObjective and defaultTimeout are those of a route that declares none.
	defaultObjective = time.Second
	defaultTimeout   = 3 * time.Second
	// deferredWait is the wait above which a flow is deferred, even within its objective: a
	// few times as long as a deferral takes. Without it, flows waited beside free slots, and
	// p99 rose from 76 to 196 ms at the usual load (testdata/replays).
	deferredWait = 5 * time.Millisecond
)

// Limits are the expected delays up to which a target accepts a new flow. They answer bursts
// above the capacity of all targets: a wait within the objective costs nothing, a late response
// is worth more than none, and a flow that would wait longer than its caller is refused at once.
type Limits struct {
	// Objective is the delay up to which a flow is accepted at once.
	Objective time.Duration
	// Returned is the delay up to which a flow is accepted that comes back after it was
	// deferred. A refused caller comes back when its objective has almost passed, so a late
	// response is the best that it can get.
	Returned time.Duration
}

// NewLimits returns the limits for the flows of a class. refusedLately is set for a caller that
// was refused within refusedRetention: it may wait longer, so that it gets in before a new
// caller of the same priority.
func NewLimits(c routing.Class, refusedLately bool) Limits {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	objective := c.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	objective = min(objective, timeout)
	returned := timeout / 2
	if refusedLately {
		returned = timeout / 4 * 3
	}
	return Limits{
		Objective: objective,
		Returned:  max(returned, objective),
	}
}

// Verdict is what a target does with a new flow.
type Verdict uint8

const (
	// Accept means that the flow is accepted.
	Accept Verdict = iota
	// Defer means that the flow is returned once, because another target may serve it sooner.
	Defer
	// Refuse means that the flow is returned because it would wait for too long.
	Refuse
)

// Admit returns what a target does with a flow that would wait, and then be processed for the
// mean cost of its route. returned is set if the target has deferred the flow before. A flow
// with no wait is never refused, however long its requests take.
func (l Limits) Admit(wait, mean time.Duration, returned bool) Verdict {
	switch {
	case wait <= deferredWait && wait+mean <= l.Objective:
		return Accept
	case !returned:
		return Defer
	case wait == 0 || wait+mean <= l.Returned:
		return Accept
	}
	return Refuse
}
