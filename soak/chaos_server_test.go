package soak

import "time"

// burstFlows is the number of flows of a burst, half of them on each service. That is more
// than all backend servers of a service accept at once, and far more than a cold one does.
const burstFlows = 100

// burst opens many flows at once.
func (c *chaos) burst() {
	c.verifier.recordEvent("open %d flows at once", burstFlows)
	c.verifier.mu.Lock()
	defer c.verifier.mu.Unlock()
	c.verifier.lastBurst = time.Now()
	for i := range burstFlows {
		c.callers.open(i%2, c.region.callerPorts()[i/2%len(c.region.callerPorts())], 300*time.Millisecond)
	}
}

// coldTime is how long a backend server is cold. burstDelay is the time from its start to
// the burst: by then its agent has received its heartbeat. The agent itself started more
// than a second ago, unless another action has just restarted it.
const (
	coldTime   = 3 * time.Second
	burstDelay = 700 * time.Millisecond
)

// burstOnColdServer restarts a backend server and opens many flows while it is cold.
func (c *chaos) burstOnColdServer() {
	n := c.agent()
	c.runExclusive(c.busyServers, n, func() {
		c.verifier.recordEvent("backend server of %s restarts cold", nameOf(n))
		c.region.crashServer(n)
		time.Sleep(100 * time.Millisecond)
		c.startServer(n, coldTime)
		time.Sleep(burstDelay)
		c.burst()
	})
}

func (c *chaos) startServer(n int, cold time.Duration) {
	if err := c.region.startServer(n, cold); err != nil {
		c.verifier.addViolation("backend server of %s did not start: %v", nameOf(n), err)
	}
}

func (c *chaos) crashServer() {
	n, d, cold := c.agent(), c.between(20*time.Millisecond, 1500*time.Millisecond), c.rand.IntN(2) == 0
	c.runExclusive(c.busyServers, n, func() {
		c.verifier.recordEvent("backend server of %s crashes for %s", nameOf(n), d)
		c.region.crashServer(n)
		time.Sleep(d)
		c.startServer(n, map[bool]time.Duration{true: 2 * time.Second}[cold])
	})
}

// drainServer drains a backend server, ends it after a random time, and starts another in
// its place.
func (c *chaos) drainServer() {
	n, d := c.agent(), c.between(200*time.Millisecond, 8*time.Second)
	c.runExclusive(c.busyServers, n, func() {
		b := c.region.server(n)
		acked := b.Drain()
		c.verifier.recordEvent("backend server of %s drains, acknowledged %v, ends after %s", nameOf(n), acked, d)
		if acked {
			c.verifier.mu.Lock()
			b.drainedAt = time.Now()
			c.verifier.mu.Unlock()
		}
		time.Sleep(d)
		b.Deregister()
		c.region.crashServer(n)
		time.Sleep(50 * time.Millisecond)
		c.startServer(n, 0)
	})
}

func (c *chaos) losePower() {
	n, d := c.agent(), c.between(100*time.Millisecond, time.Second)
	c.runExclusive(c.busyServers, n, func() {
		if !c.claim(c.busyProcesses, n) {
			return
		}
		defer c.release(c.busyProcesses, n)
		c.verifier.recordEvent("%s loses power for %s", nameOf(n), d)
		c.verifier.markDisturbed(time.Now().Add(d), n)
		c.region.processes[n].kill()
		c.region.crashServer(n)
		time.Sleep(d)
		c.startServer(n, time.Second)
		c.restart(n)
		c.verifier.markDisturbed(time.Now(), n)
	})
}
