package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
)

// Limits that the users of the load balancer require.
const (
	// stableTime is the time without faults after which an instance counts as
	// undisturbed.
	stableTime     = 4 * time.Second
	misrouteWindow = 2 * time.Second
	// drainBound, domainBound and configBound are the times within which a drain, taking a
	// failure domain out of service, and a new configuration must take effect.
	drainBound  = 3 * time.Second
	domainBound = 5 * time.Second
	configBound = 3 * time.Second
	// unstableStoreExtra is added to domainBound and configBound after faults of the
	// store.
	unstableStoreExtra = 12 * time.Second
	// A cold backend server may accept coldRate*coldFactor+coldSlack flows within 1 s.
	coldFactor = 1.5
	coldSlack  = 5
	// firstServiceAddress is 198.18.0.1.
	firstServiceAddress = 0xc6120001
	// heartbeatInterval is the time between two heartbeats of a backend server.
	heartbeatInterval = 1200 * time.Millisecond
)

// verifier checks the packets that callers and backend servers receive against the
// guarantees of the load balancer.
type verifier struct {
	region *region
	mu     sync.Mutex
	flows  map[flow.Tuple]*callerFlow
	// disturbedUntil is when the faults of an instance end, and storeUnstableUntil when
	// those of the store do.
	disturbedUntil     map[int]time.Time
	storeUnstableUntil time.Time
	// outSince is when a failure domain was taken out of service.
	outSince map[string]time.Time
	// returnedAt is when a failure domain was last returned to service.
	returnedAt map[string]time.Time
	// routeAdded and routeRemoved are when the store acknowledged that the routes of a
	// port were added or removed.
	routeAdded, routeRemoved map[int]time.Time
	// lowIdleTimeout is the idle timeout that was declared before the latest, lower than it,
	// and raisedAt when it was raised; the time is zero while lowIdleTimeout is declared.
	lowIdleTimeout time.Duration
	raisedAt       time.Time
	// restartedAt is when the latest planned restart of an agent began or ended.
	restartedAt map[int]time.Time
	// lastBurst is when callers last opened many flows at once.
	lastBurst       time.Time
	violations      []string
	resets, answers int
	history         []string
	// bursts has the results of the bursts that were checked, and pendingAtStops the numbers
	// of requests that agents had when they were stopped as planned.
	bursts         []string
	pendingAtStops []int
}

func newVerifier(r *region) *verifier {
	return &verifier{
		region:         r,
		flows:          map[flow.Tuple]*callerFlow{},
		disturbedUntil: map[int]time.Time{},
		outSince:       map[string]time.Time{},
		returnedAt:     map[string]time.Time{},
		routeAdded:     map[int]time.Time{urgentPort: time.Now(), lessUrgentPort: time.Now()},
		routeRemoved:   map[int]time.Time{},
		lowIdleTimeout: maxIdleTimeout,
		restartedAt:    map[int]time.Time{},
	}
}

// recordEvent adds a line to the history, which is printed when the run fails.
func (v *verifier) recordEvent(format string, a ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordEventLocked(format, a...)
}

// recordEventLocked is recordEvent for use with the lock held.
func (v *verifier) recordEventLocked(format string, a ...any) {
	v.history = append(v.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// addViolation records a guarantee that was not kept.
func (v *verifier) addViolation(format string, a ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addViolationLocked(format, a...)
}

// addViolationLocked is addViolation for use with the lock held.
func (v *verifier) addViolationLocked(format string, a ...any) {
	v.violations = append(v.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// markDisturbed records that faults affect the instances until the given time.
func (v *verifier) markDisturbed(until time.Time, instances ...int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range instances {
		if until.After(v.disturbedUntil[n]) {
			v.disturbedUntil[n] = until
		}
	}
}

// markRestarting records that the agent of an instance is being restarted as planned until
// the given time.
func (v *verifier) markRestarting(until time.Time, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restartedAt[n] = until
}

// undisturbed reports whether no fault affected the instances within stableTime. The lock
// must be held.
func (v *verifier) undisturbed(instances ...int) bool {
	for _, n := range instances {
		if time.Since(v.disturbedUntil[n]) < stableTime {
			return false
		}
	}
	return true
}

// extend returns a bound for changes of declared state, which is longer after faults of
// the store.
func (v *verifier) extend(bound time.Duration) time.Duration {
	if time.Since(v.storeUnstableUntil) < unstableStoreExtra+bound+stableTime {
		return bound + unstableStoreExtra
	}
	return bound
}

// checkArrival checks a packet that arrived at a backend server.
func (v *verifier) checkArrival(b *backend, a usersbackend.Arrival) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[a.Packet.Tuple]
	switch {
	case f == nil:
		v.addViolationLocked("the backend server of %s received a packet of an unknown flow: %s", nameOf(b.instance), a.Packet.Tuple)
		return
	case !a.Intact:
		v.addViolationLocked("a packet to the backend server of %s was altered in transit: %s", nameOf(b.instance), f.tuple)
	case f.service() != b.service:
		v.addViolationLocked("a packet of flow %s for service %s reached the backend server of %s, which serves %s", f.tuple, f.service(), nameOf(b.instance), b.service)
	}
	f.path = append(f.path, fmt.Sprintf("%s flags %b at %s, offset %d, flow open there: %v", a.At.Format("05.000"), a.Packet.Flags, nameOf(b.instance), int32(a.Packet.Sequence-f.initialSequence-1), a.Held))
	if a.Held && a.Packet.Length > 0 && v.region.loadAware {
		v.checkOrder(b, f, a)
	}
	switch {
	case a.Accepted:
		v.checkOpening(b, f, a)
	case a.Opened:
		f.server = b
		f.misrouted = nil
		f.misroutedSince = 0
	case a.Held:
		f.misrouted = nil
		f.misroutedSince = 0
	case f.server != nil && f.server != b && f.server.running && !f.ended:
		v.checkMisrouted(b, f, a)
	}
}

// checkOpening checks the first packet of a flow that a backend server accepts.
func (v *verifier) checkOpening(b *backend, f *callerFlow, a usersbackend.Arrival) {
	via := []int{f.balancer, b.instance}
	d := domainOf(b.instance)
	if !b.drainedAt.IsZero() && a.At.Sub(b.drainedAt) > drainBound && v.undisturbed(via...) {
		v.addViolationLocked("the backend server of %s accepted a new flow %s after its drain was acknowledged: %s", nameOf(b.instance), a.At.Sub(b.drainedAt), f.tuple)
	}
	if since, ok := v.outSince[d]; ok && a.At.Sub(since) > v.extend(domainBound) && v.undisturbed(via...) {
		v.addViolationLocked("the backend server of %s accepted a new flow %s after %s was taken out of service: %s", nameOf(b.instance), a.At.Sub(since), d, f.tuple)
	}
	p := int(f.tuple.AddressPort)
	if at, ok := v.routeRemoved[p]; ok && f.opened.Sub(at) > v.extend(configBound) && v.undisturbed(via...) {
		v.addViolationLocked("a backend server accepted a flow that was opened %s after its route was removed: %s", f.opened.Sub(at), f.tuple)
	}
	if a.At.After(b.coldUntil) {
		return
	}
	for len(b.accepted) > 0 && a.At.Sub(b.accepted[0]) > time.Second {
		b.accepted = b.accepted[1:]
	}
	b.accepted = append(b.accepted, a.At)
	if float64(len(b.accepted)) > coldRate*coldFactor+coldSlack {
		v.addViolationLocked("the cold backend server of %s accepted %d flows within 1 s", nameOf(b.instance), len(b.accepted))
	}
}

// checkMisrouted checks a packet of an open flow that reached another backend server. Two
// such packets are allowed until one reaches the flow's own, and more within misrouteWindow or
// after faults.
func (v *verifier) checkMisrouted(b *backend, f *callerFlow, a usersbackend.Arrival) {
	calm := v.undisturbed(b.instance, f.balancer, f.server.instance)
	if calm {
		f.misroutedSince++
		if f.misroutedSince == 1 {
			f.misroutedAt = a.At
		}
		if f.misroutedSince >= 3 && a.At.Sub(f.misroutedAt) >= misrouteWindow {
			v.addViolationLocked("%d packets of the open flow %s reached other backend servers within %s, and none its own: %v", f.misroutedSince, f.tuple, a.At.Sub(f.misroutedAt), f.path)
		}
	}
	f.misrouted = append(f.misrouted, a.At)
	for len(f.misrouted) > 0 && a.At.Sub(f.misrouted[0]) > misrouteWindow {
		f.misrouted = f.misrouted[1:]
	}
	if len(f.misrouted) >= 3 && calm {
		v.addViolationLocked("packets of the open flow %s keep reaching other backend servers: %v", f.tuple, f.path)
	}
}

// idleTimeout returns the lowest idle timeout that may be in force. The lock must be held.
func (v *verifier) idleTimeout() time.Duration {
	if v.raisedAt.IsZero() || time.Since(v.raisedAt) < configBound {
		return v.lowIdleTimeout
	}
	return maxIdleTimeout
}

// checkReset checks a reset that a caller received from the load balancer; sender is the
// instance that sent it.
func (v *verifier) checkReset(f *callerFlow, sender int) {
	v.resets++
	f.ended = true
	s := f.server
	if s == nil {
		v.checkRefusal(f)
		return
	}
	_, routeGone := v.routeRemoved[int(f.tuple.AddressPort)]
	idle := f.paused > v.idleTimeout()
	if s.running && s.Holds(f.tuple) && !routeGone && !idle && v.undisturbed(sender, f.balancer, s.instance) {
		v.addViolationLocked("the flow %s, open at the backend server of %s, was reset by %s: %v", f.tuple, nameOf(s.instance), nameOf(sender), f.path)
	}
}

// checkRefusal checks the reset of a flow that was never open. A flow whose route is in
// force must not be refused while two backend servers are available, except after a burst
// or after faults of its balancer. A backend server whose agent is being restarted is not
// available until the agent has received a heartbeat.
func (v *verifier) checkRefusal(f *callerFlow) {
	at, ok := v.routeAdded[int(f.tuple.AddressPort)]
	if !ok || f.ack != 0 {
		return
	}
	open := 0
	for n, s := range services {
		b := v.region.server(n)
		_, out := v.outSince[domainOf(n)]
		restarting := time.Since(v.restartedAt[n]) < heartbeatInterval
		if s == f.service() && b.running && !restarting && time.Now().After(b.coldUntil) && b.drainedAt.IsZero() && !out && v.undisturbed(n) && !b.failing() {
			open++
			v.checkFree(f, b)
		}
	}
	busy := time.Since(v.lastBurst) < stableTime
	if f.opened.Sub(at) > v.extend(configBound) && v.undisturbed(f.balancer) && open > 1 && !busy {
		v.addViolationLocked("the flow %s was refused %s after its route was added, with %d backend servers available", f.tuple, f.opened.Sub(at), open)
	}
}

// checkAnswer checks a packet that arrived at a caller, and counts answers.
func (v *verifier) checkAnswer(f *callerFlow, s segment.Segment, b []byte) {
	if !usersbackend.Intact(b) {
		v.addViolationLocked("a packet to the caller of %s was altered in transit", f.tuple)
	}
	if s.Length > 0 {
		v.answers++
		f.answers++
	}
}
