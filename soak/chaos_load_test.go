package soak

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/standin/usersbackend"
)

// loadActions returns the actions of load-aware seeds.
func (c *chaos) loadActions() []func() {
	l := []func(){
		c.failRequests, c.failRequests, c.burstAboveSlots, c.burstAboveSlots, c.stopFullAgent, c.stopFullAgent,
	}
	switch {
	case c.inSeries:
		return l[1:4]
	case c.plannedOnly:
		return l
	}
	return append(l, c.killFullAgent)
}

// failRequests makes a backend server fail a part of its requests while its health is good.
func (c *chaos) failRequests() {
	n, d := c.agent(), c.between(time.Second, 4*time.Second)
	failure := usersbackend.Failures[c.rand.IntN(len(usersbackend.Failures))]
	share := 0.2 + 0.8*c.rand.Float64()
	c.runExclusive(c.busyServers, n, func() {
		c.verifier.recordEvent("backend server of %s fails %.0f%% of its requests for %s: %s", nameOf(n), 100*share, d, failure)
		b := c.region.server(n)
		c.verifier.mu.Lock()
		b.failedUntil = time.Now().Add(d)
		c.verifier.mu.Unlock()
		b.Fail(failure, share)
		time.Sleep(d)
		b.Fail(0, 0)
		c.verifier.mu.Lock()
		b.failedUntil = time.Now()
		c.verifier.mu.Unlock()
	})
}

// A burst above all slots of a service brings twice the requests that its backend servers can
// process: the urgent ones on new flows, the others on flows that are open already.
const (
	loadBurstTime = 1500 * time.Millisecond
	// loadBurstLead is the time for which the less urgent flows are open before.
	loadBurstLead = 500 * time.Millisecond
	serverRate    = loadSlots * float64(time.Second/loadDuration)
	urgentRate    = 0.8 * serverRate
	// lessUrgentPause is the least time between two requests of a less urgent flow.
	lessUrgentPause    = 100 * time.Millisecond
	lessUrgentFlowRate = 1.2 * serverRate * float64(lessUrgentPause) / float64(time.Second)
)

// loadBurst is a burst above all slots of a service.
type loadBurst struct {
	from, until time.Time
	// asked and good count requests by port; good are those answered within the timeout of
	// their route, and not with an error.
	asked, good map[int]int
	counted     map[*callerFlow]time.Time
}

// next counts a new request of a flow and returns the pause until the next one.
func (b *loadBurst) next(f *callerFlow) time.Duration {
	now := time.Now()
	if f.tuple.AddressPort == urgentPort {
		return time.Minute
	}
	delete(b.counted, f)
	if now.Before(b.from) {
		return b.from.Sub(now)
	}
	if now.Before(b.until) {
		b.ask(f)
	}
	return lessUrgentPause
}

func (b *loadBurst) ask(f *callerFlow) {
	b.asked[int(f.tuple.AddressPort)]++
	b.counted[f] = time.Now()
}

// answered counts a good response.
func (b *loadBurst) answered(f *callerFlow) {
	at, ok := b.counted[f]
	if ok && time.Since(at) <= f.timeout() {
		b.good[int(f.tuple.AddressPort)]++
	}
}

// lost returns the number of requests on a port and the share that was lost.
func (b *loadBurst) lost(port int) (n, share float64) {
	n = float64(b.asked[port])
	return n, 1 - float64(b.good[port])/max(1, n)
}

// burstAboveSlots brings a burst to a service. If the instances can be left alone meanwhile, it
// checks which requests are lost.
func (c *chaos) burstAboveSlots() {
	i := c.rand.IntN(2)
	c.wait.Go(func() {
		release, ok := c.claimService(i)
		if !ok {
			release()
			c.runBurst(i, loadBurstTime)
			return
		}
		defer release()
		c.verifier.mu.Lock()
		steady := c.serviceSteady(i)
		c.verifier.mu.Unlock()
		b := c.runBurst(i, loadBurstTime)
		c.verifier.mu.Lock()
		defer c.verifier.mu.Unlock()
		if steady && c.serviceSteady(i) {
			c.verifier.checkBurst(b)
		}
	})
}

// claimService reserves the instances of a service and the failure domains.
func (c *chaos) claimService(i int) (release func(), ok bool) {
	var undo []func()
	release = func() {
		for _, f := range undo {
			f()
		}
	}
	claim := func(m map[int]bool, n int) bool {
		if !c.claim(m, n) {
			return false
		}
		undo = append(undo, func() { c.release(m, n) })
		return true
	}
	if !claim(c.busyProcesses, -1) {
		return release, false
	}
	for n, s := range services {
		if s == serviceNames[i] && (!claim(c.busyProcesses, n) || !claim(c.busyServers, n)) {
			return release, false
		}
	}
	return release, true
}

// serviceSteady reports whether all instances of a service and all balancers have been
// undisturbed for some time. The verifier's lock must be held.
func (c *chaos) serviceSteady(i int) bool {
	for _, n := range c.region.instances() {
		if n >= firstAgent && services[n] != serviceNames[i] {
			continue
		}
		if !c.verifier.steady(n) {
			return false
		}
		if n < firstAgent {
			continue
		}
		b := c.region.server(n)
		if !b.running || b.failing() || !b.drainedAt.IsZero() || time.Since(b.startedAt) < startupTime || time.Since(b.coldUntil) < startupTime {
			return false
		}
	}
	return true
}

// runBurst opens the flows of a burst and waits until each request is answered or has timed out.
func (c *chaos) runBurst(i int, d time.Duration) *loadBurst {
	servers := 0
	for _, s := range services {
		if s == serviceNames[i] {
			servers++
		}
	}
	c.verifier.recordEvent("burst above all slots of %s for %s", serviceNames[i], d)
	b := &loadBurst{
		from:    time.Now().Add(loadBurstLead),
		asked:   map[int]int{},
		good:    map[int]int{},
		counted: map[*callerFlow]time.Time{},
	}
	b.until = b.from.Add(d)
	open := func(port int, lifetime time.Duration) {
		c.verifier.mu.Lock()
		defer c.verifier.mu.Unlock()
		c.verifier.lastBurst = time.Now()
		f := c.callers.open(i, port, lifetime)
		f.burst = b
		if port == urgentPort {
			b.ask(f)
		}
	}
	for range int(math.Round(lessUrgentFlowRate * float64(servers))) {
		open(lessUrgentPort, loadBurstLead+d)
	}
	time.Sleep(time.Until(b.from))
	gap := time.Duration(float64(time.Second) / (urgentRate * float64(servers)))
	for at := b.from; at.Before(b.until); at = at.Add(gap) {
		time.Sleep(time.Until(at))
		open(urgentPort, 0)
	}
	time.Sleep(lessUrgentTimeout + transitTime)
	return b
}

// significant is the number of standard deviations above which the difference of two shares is
// not chance.
const significant = 3

// checkBurst checks that the urgent requests did not lose a larger share than the others. The
// lock must be held.
func (v *verifier) checkBurst(b *loadBurst) {
	n1, lost1 := b.lost(urgentPort)
	n2, lost2 := b.lost(lessUrgentPort)
	v.bursts = append(v.bursts, fmt.Sprintf("urgent lost %.3f of %.0f, others %.3f of %.0f", lost1, n1, lost2, n2))
	all := (lost1*n1 + lost2*n2) / max(1, n1+n2)
	chance := significant * math.Sqrt(all*(1-all)*(1/max(1, n1)+1/max(1, n2)))
	if lost1 > lost2+chance {
		v.addViolationLocked("a burst lost %.0f%% of %.0f urgent requests and %.0f%% of %.0f others", 100*lost1, n1, 100*lost2, n2)
	}
}

// stopFullAgent stops an agent as planned while requests wait there, and killFullAgent kills it.
func (c *chaos) stopFullAgent() { c.endFullAgent(false) }
func (c *chaos) killFullAgent() { c.endFullAgent(true) }

func (c *chaos) endFullAgent(kill bool) {
	n, d := c.agent(), c.between(50*time.Millisecond, 500*time.Millisecond)
	c.runExclusive(c.busyProcesses, n, func() {
		i := slices.Index(serviceNames, services[n])
		c.wait.Go(func() { c.runBurst(i, loadBurstTime) })
		time.Sleep(loadBurstLead + loadBurstTime/2)
		c.verifier.recordEvent("end %s with a full queue: kill %v", nameOf(n), kill)
		if kill {
			c.verifier.markDisturbed(time.Now().Add(d), n)
			c.region.processes[n].kill()
		} else {
			c.stopChecked(n)
		}
		time.Sleep(d)
		c.restart(n)
		if kill {
			c.verifier.markDisturbed(time.Now(), n)
		}
	})
}
