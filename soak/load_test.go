package soak

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
)

// Routes and backend servers of load-aware seeds.
const (
	urgentPort     = 443
	lessUrgentPort = 444
	// loadSlots and loadDuration are those of each backend server.
	loadSlots    = 2
	loadDuration = 40 * time.Millisecond
	// loadFlowsPerAgent replaces flowsPerAgent: requests take longer than in other seeds.
	loadFlowsPerAgent = 4

	urgentObjective     = 400 * time.Millisecond
	lessUrgentObjective = time.Second
	urgentTimeout       = openTimeout
	lessUrgentTimeout   = 2 * time.Second
)

// isLoadAware reports whether a seed runs with the contract "health". The rule leaves the
// earlier seeds in testdata/regressions as they were.
func isLoadAware(seed uint64) bool { return seed%5 == 1 || seed%5 == 4 }

// callerPorts returns the ports on which flows are opened, the most urgent first.
func (r *region) callerPorts() []int {
	if r.loadAware {
		return []int{urgentPort, lessUrgentPort}
	}
	return []int{urgentPort}
}

// class returns the further fields of a route.
func (r *region) class(port int) map[string]any {
	switch {
	case r.loadAware && port == urgentPort:
		return map[string]any{
			"priority":     1,
			"objective_ms": urgentObjective.Milliseconds(),
			"timeout_ms":   urgentTimeout.Milliseconds(),
		}
	case r.loadAware && port == lessUrgentPort:
		return map[string]any{
			"priority":     2,
			"objective_ms": lessUrgentObjective.Milliseconds(),
			"timeout_ms":   lessUrgentTimeout.Milliseconds(),
		}
	}
	return nil
}

// request is the progress of the current request of a flow.
type request struct {
	// offset is the number of bytes that the caller sent before it.
	offset uint32
	// sentAt is when the caller sent it and repeated it.
	sentAt []time.Time
	// balancer is the number of the balancer to which it was sent first.
	balancer int
	// atAgents is when it reached agents, and olderAtAgents when earlier ones did after it.
	atAgents, olderAtAgents []delivery
	// arrivals is how often it reached its backend server, the first time at arrivedAt.
	arrivals  int
	arrivedAt time.Time
	// olderArrivals is how often an earlier request reached its backend server after it.
	olderArrivals int
}

// newRequest counts a request that the caller is about to send for the first time.
func (f *callerFlow) newRequest() {
	f.request = request{
		offset: f.request.offset,
	}
	if f.burst != nil {
		f.pause = f.burst.next(f)
	}
}

// answered handles a response and reports whether it is the one to the current request.
func (f *callerFlow) answered(s segment.Segment) bool {
	next := f.request.offset + requestSize
	if !f.waiting || s.Ack != f.initialSequence+1+next {
		return false
	}
	f.ack = s.Sequence + uint32(s.Length)
	if f.burst != nil && !usersbackend.ErrorResponse(s) {
		f.burst.answered(f)
	}
	f.request = request{
		offset: next,
	}
	return true
}

// transitTime is longer than a packet is under way where there are no faults.
const transitTime = 100 * time.Millisecond

// delivery is a packet that reached an agent.
type delivery struct {
	agent int
	at    time.Time
}

// noteDelivery records a datagram to an agent that has a packet of a request. The packet is at
// its end.
func (v *verifier) noteDelivery(n int, b []byte) {
	if n < firstAgent || len(b) < usersbackend.HeaderSize || relay.Kind(b[0]) != relay.KindDeliverClass {
		return
	}
	s := usersbackend.DecodeFromCaller(b[len(b)-usersbackend.HeaderSize:])
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[s.Tuple]
	if f == nil || s.Length == 0 {
		return
	}
	d := delivery{
		agent: n,
		at:    time.Now(),
	}
	switch q := &f.request; {
	case s.Sequence-f.initialSequence-1 == q.offset:
		q.atAgents = append(q.atAgents, d)
	case len(q.atAgents) > 0:
		q.olderAtAgents = append(q.olderAtAgents, d)
	}
}

// count returns the number of packets that reached an agent after some time.
func count(l []delivery, agent int, after time.Time) int {
	n := 0
	for _, d := range l {
		if d.agent == agent && d.at.After(after) {
			n++
		}
	}
	return n
}

// maxArrivals bounds the arrivals that are remembered: some seconds at the rate of a burst.
const maxArrivals = 512

// lastArrival returns when the latest packet before some time arrived. The agent had read by then
// what had reached it before: a process that was not scheduled for long reads all copies of a
// request at once, and holds none of them.
func (b *backend) lastArrival(before time.Time) time.Time {
	for _, at := range slices.Backward(b.arrivals) {
		if at.Before(before) {
			return at
		}
	}
	return time.Time{}
}

// checkOrder checks that the bytes of a flow reach its backend server in the order in which they
// reach the agent, and once unless they reach the agent again after that. The agent must not pass
// on the repetitions of a request that it holds. Balancers may: they keep the packets of a flow
// while they look it up.
func (v *verifier) checkOrder(b *backend, f *callerFlow, a usersbackend.Arrival) {
	b.arrivals = append(b.arrivals, a.At)
	b.arrivals = b.arrivals[max(0, len(b.arrivals)-maxArrivals):]
	if !v.undisturbed(b.instance, f.balancer) {
		return
	}
	q := &f.request
	offset := a.Packet.Sequence - f.initialSequence - 1
	if offset != q.offset {
		if q.arrivals > 0 {
			q.olderArrivals++
		}
		if q.olderArrivals > count(q.olderAtAgents, b.instance, time.Time{}) {
			v.addViolationLocked("bytes from %d of the flow %s reached the backend server of %s after those from %d, sent at %v: %v", offset, f.tuple, nameOf(b.instance), q.offset, q.sentAt, f.path[max(0, len(f.path)-12):])
		}
		return
	}
	q.arrivals++
	if q.arrivals == 1 {
		q.arrivedAt = a.At
	}
	busyAt := b.lastArrival(q.arrivedAt.Add(-transitTime))
	allowed := count(q.atAgents, b.instance, busyAt)
	if count(q.atAgents, b.instance, time.Time{}) > allowed {
		// Those that came before were held, and count once.
		allowed++
	}
	if q.arrivals > allowed {
		v.addViolationLocked("a request of the flow %s reached the backend server of %s %d times, first at %s; sent at %v, at agents %v", f.tuple, nameOf(b.instance), q.arrivals, q.arrivedAt.Format("05.000"), q.sentAt, q.atAgents)
	}
}

// reportInterval is the age that a report of an agent may have.
const reportInterval = 500 * time.Millisecond

// failing reports whether a backend server may be ejected: it fails requests, or did within the
// time in which it must return.
func (b *backend) failing() bool { return time.Since(b.failedUntil) < outlier.ReturnTimeout }

// timeout returns the timeout of the route of a flow in load-aware seeds.
func (f *callerFlow) timeout() time.Duration {
	if f.tuple.AddressPort == urgentPort {
		return urgentTimeout
	}
	return lessUrgentTimeout
}

// checkFree checks that a flow was not refused while a backend server was free. It must have been
// free for longer than a report is old, as the balancer cannot know it sooner, and its failure
// domain must not have returned to service within the time in which that is in force.
func (v *verifier) checkFree(f *callerFlow, b *backend) {
	if time.Since(v.returnedAt[domainOf(b.instance)]) <= v.extend(domainBound) {
		return
	}
	if !v.region.loadAware || !v.steady(f.balancer) || !v.steady(b.instance) || time.Since(b.startedAt) < startupTime {
		return
	}
	if d := b.FreeFor(); d > reportInterval+transitTime {
		v.addViolationLocked("the flow %s was refused, and the backend server of %s had had a free slot for %s", f.tuple, nameOf(b.instance), d)
	}
}

// steady reports whether a process has run for some time and is not stopping. The verifier's lock
// must be held.
func (v *verifier) steady(n int) bool {
	p := v.region.processes[n]
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endExpected && time.Since(p.startedAt) >= startupTime && v.undisturbed(n)
}

// stopChecked stops a process. Each request that its agent had when the stop began must have been
// answered by the end of the process.
func (c *chaos) stopChecked(n int) {
	v := c.verifier
	before := map[*callerFlow]uint32{}
	v.mu.Lock()
	if v.region.loadAware && n >= firstAgent && v.steady(n) {
		for _, f := range v.flows {
			q := f.request
			s := f.server
			// One that has waited for longer than its timeout has been dropped before.
			sent := f.waiting && len(q.sentAt) > 0 && time.Since(q.sentAt[0]) > transitTime && time.Since(q.sentAt[0]) < f.timeout()
			if sent && !f.ended && s != nil && s.instance == n && s.running && !s.failing() && s.Holds(f.tuple) && v.steady(q.balancer) {
				before[f] = q.offset
			}
		}
	}
	v.mu.Unlock()
	c.region.processes[n].stop()
	v.mu.Lock()
	defer v.mu.Unlock()
	for f, offset := range before {
		if f.request.offset == offset && f.server.running && f.server.Holds(f.tuple) && v.undisturbed(n, f.request.balancer) {
			v.addViolationLocked("%s stopped before the request of %s was answered, sent at %v, arrivals %d: %v", nameOf(n), f.tuple, f.request.sentAt, f.request.arrivals, f.path)
		}
	}
	if len(before) > 0 {
		v.recordEventLocked("%s had %d requests when it stopped", nameOf(n), len(before))
		v.pendingAtStops = append(v.pendingAtStops, len(before))
	}
}
