package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/placement"
)

// admission decides whether a new flow should first be offered to another target. It
// answers bursts of short flows: reports are half a second apart, so many balancers place
// flows at a target whose slots have just filled up, while others are idle. Only the agent
// knows this at once. A flow is deferred once; when it comes back, no better target was
// found, and it may wait here until the target is full.
type admission struct {
	// deferred has the flows that were deferred, and when.
	deferred map[flow.Tuple]time.Time
	// handshakes is the number of flows whose first request is still to come.
	handshakes int
	// expected has the requests of these flows by the level of their priority. This and the
	// following are set only if Config.LoadAware is.
	expected [placement.PriorityLevels]expectedRequests
	refused  *placement.RefusedCallers
	cold     coldShares
	// serverLoad returns the work that the backend server still has to do.
	serverLoad func(time.Time) cost.Load
	// loadCache is a recent result of serverLoad, of loadCachedAt.
	loadCache    cost.Load
	loadCachedAt time.Time
}

// expectedRequests are the first requests of admitted flows that are still to come.
type expectedRequests struct {
	requests uint32
	work     time.Duration
}

const (
	// deferralTimeout is the time for which a deferral is remembered: longer than the
	// balancer needs to try other targets.
	deferralTimeout = 500 * time.Millisecond
	// firstRequestTimeout is the time after which the first request of a flow is no longer
	// expected: many round trips to the caller.
	firstRequestTimeout = 100 * time.Millisecond
	// maxDeferrals bounds the table of deferrals. Above it, flows are not deferred.
	maxDeferrals = 1024
)

// deferFlow defers a new flow that would wait behind another one, unless it was deferred
// lately and has come back. It reports whether it did.
func (m *Model) deferFlow(now time.Time, t flow.Tuple) bool {
	a := &m.admission
	slots := int(m.server.slots)
	if slots == 0 || m.load.inFlight+a.handshakes <= slots {
		return false
	}
	if a.takeDeferral(now, t) {
		return false
	}
	return a.remember(now, t)
}

// takeDeferral reports whether a flow was deferred lately, and forgets it.
func (a *admission) takeDeferral(now time.Time, t flow.Tuple) bool {
	at, ok := a.deferred[t]
	if !ok || now.Sub(at) >= deferralTimeout {
		return false
	}
	delete(a.deferred, t)
	return true
}

// remember adds a flow to the table of deferrals. It returns false if the table is full.
func (a *admission) remember(now time.Time, t flow.Tuple) bool {
	if len(a.deferred) >= maxDeferrals {
		return false
	}
	if a.deferred == nil {
		a.deferred = map[flow.Tuple]time.Time{}
	}
	a.deferred[t] = now
	return true
}

// expectRequest counts a flow whose first request is still to come.
func (m *Model) expectRequest(e *entry) {
	e.requestExpected = true
	m.admission.handshakes++
}

// endExpectation ends the wait for a flow's first request: it has come, or will not come.
func (m *Model) endExpectation(e *entry) {
	if e.requestExpected {
		e.requestExpected = false
		m.admission.handshakes--
		m.admission.removeExpected(e)
	}
}

// sweepAdmission forgets deferrals and handshakes that have timed out.
func (m *Model) sweepAdmission(now time.Time) {
	for t, at := range m.admission.deferred {
		if now.Sub(at) >= deferralTimeout {
			delete(m.admission.deferred, t)
		}
	}
	if m.admission.handshakes == 0 {
		return
	}
	for _, e := range m.flows {
		if e.requestExpected && now.Sub(e.lastPacket) >= firstRequestTimeout {
			m.endExpectation(e)
		}
	}
}
