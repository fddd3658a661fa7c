package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

// loadCacheTime is the time for which a load is used again for further new flows, unless one of
// their requests has come. In a burst of callers that are refused, each first packet would
// otherwise sum up all requests.
const loadCacheTime = 2 * time.Millisecond

// newAdmission returns the state of admission of an agent that has just started.
func (m *Model) newAdmission() admission {
	if !m.config.LoadAware {
		return admission{}
	}
	return admission{
		deferred:   make(map[flow.Tuple]time.Time, maxDeferrals),
		refused:    &placement.RefusedCallers{},
		serverLoad: m.serverLoad,
	}
}

// refusalByDelay returns the reason why a new flow is returned because of the time that it
// would wait here, or zero. It answers bursts of routes of different urgency: a flow waits
// only behind work that is at least as urgent, so the least urgent ones are deferred and
// refused first. Where no load is known, it counts requests in flight, as without LoadAware.
func (m *Model) refusalByDelay(now time.Time, packet DeliverMsg) RejectReason {
	a := &m.admission
	t := packet.Segment.Tuple
	l := a.load(now)
	if m.server.slots == 0 || l.Running == 0 && len(l.Queued) == 0 && len(l.Routes) == 0 {
		if m.deferFlow(now, t) {
			return RejectBusy
		}
		return 0
	}
	limits := placement.NewLimits(packet.Class, a.refused.Contains(now, t.Caller))
	wait := a.wait(l, packet.Class.Priority, m.server.slots)
	mean := meanCost(l, routing.AddressOf(t), limits)
	switch limits.Admit(wait, mean, false) {
	case placement.Accept:
		return 0
	default:
		if !a.takeDeferral(now, t) && a.remember(now, t) {
			return RejectBusy
		}
	}
	if limits.Admit(wait, mean, true) == placement.Refuse {
		return RejectFull
	}
	return 0
}

// load returns the work that the backend server still has to do, at most loadCacheTime old.
func (a *admission) load(now time.Time) cost.Load {
	if d := now.Sub(a.loadCachedAt); d < 0 || d >= loadCacheTime {
		a.loadCache = a.serverLoad(now)
		a.loadCachedAt = now
	}
	return a.loadCache
}

// wait returns the expected time until a request of a priority begins to be processed: zero
// while a slot is free, else the work that is at least as urgent, including the first requests
// of flows that were admitted, divided by the slots.
func (a *admission) wait(l cost.Load, p routing.Priority, slots uint32) time.Duration {
	ahead := l.Running
	work := l.Rest
	for _, q := range l.Queued {
		if q.Priority <= p {
			ahead += q.Requests
			work += q.Work
		}
	}
	for _, x := range a.expected[:placement.Level(p)+1] {
		ahead += x.requests
		work += x.work
	}
	if ahead < slots {
		return 0
	}
	return work / time.Duration(slots)
}

// meanCost returns the mean cost of a route here. A route of which nothing is known costs no
// more than half its objective, so that its flows are not refused before they are known.
func meanCost(l cost.Load, route routing.Address, limits placement.Limits) time.Duration {
	if x, ok := l.Cost(route); ok && x.Mean > 0 {
		return x.Mean
	}
	return min(cost.DefaultMean, limits.Objective/2)
}

// recordAdmission records the class of a flow that was admitted, and the work that it will bring.
func (m *Model) recordAdmission(now time.Time, e *entry, packet DeliverMsg) {
	if !m.config.LoadAware {
		return
	}
	a := &m.admission
	e.class = packet.Class
	e.expectedWork = meanCost(a.load(now), routing.AddressOf(packet.Segment.Tuple), placement.NewLimits(packet.Class, false))
	x := &a.expected[placement.Level(e.class.Priority)]
	x.requests++
	x.work += e.expectedWork
	e.expectedLevel = uint8(placement.Level(e.class.Priority))
}

// removeExpected removes the expected request of a flow: it has come, or will not come.
func (a *admission) removeExpected(e *entry) {
	if e.expectedWork == 0 {
		return
	}
	x := &a.expected[e.expectedLevel]
	x.requests--
	x.work -= e.expectedWork
	e.expectedWork = 0
	a.loadCachedAt = time.Time{}
}

// recordRefusal counts a new flow that was returned, by its class, and remembers a caller that
// may have been refused: it may wait longer when it comes back.
func (m *Model) recordRefusal(now time.Time, packet DeliverMsg, r RejectReason) {
	if !m.config.LoadAware {
		return
	}
	level := placement.Level(packet.Class.Priority)
	switch r {
	case RejectBusy:
		m.stats.Deferred[level]++
	case RejectFull, RejectCold:
		m.stats.RefusedByLevel[level]++
		m.admission.refused.Add(now, packet.Segment.Tuple.Caller)
	}
}
