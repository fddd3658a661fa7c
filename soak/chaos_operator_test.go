package soak

import (
	"slices"
	"time"
)

func (c *chaos) takeDomainOut() {
	domain, d := domainOf(c.rand.IntN(domainCount)), c.between(time.Second, 10*time.Second)
	if c.plannedOnly {
		// The domain stays out of service for longer than the bound, so that the bound is
		// checked.
		d += domainBound
	}
	c.wait.Go(func() {
		if !c.claim(c.busyProcesses, -1) {
			return
		}
		defer c.release(c.busyProcesses, -1)
		c.verifier.recordEvent("%s is out of service for %s", domain, d)
		c.region.store.TakeOutOfService(domain)
		c.verifier.mu.Lock()
		c.verifier.outSince[domain] = time.Now()
		c.verifier.mu.Unlock()
		time.Sleep(d)
		c.verifier.mu.Lock()
		delete(c.verifier.outSince, domain)
		c.verifier.returnedAt[domain] = time.Now()
		c.verifier.mu.Unlock()
		c.region.store.ReturnToService(domain)
	})
}

const extraPort = 8080

// addAndRemoveRoute adds a route for a random time. No flows are opened on its port, so
// that only the changes of the configuration are exercised.
func (c *chaos) addAndRemoveRoute() {
	d := c.between(time.Second, 7*time.Second)
	c.wait.Go(func() {
		if !c.claim(c.busyProcesses, -2) {
			return
		}
		defer c.release(c.busyProcesses, -2)
		c.verifier.recordEvent("route %d is added for %s", extraPort, d)
		ports := c.region.routePorts
		c.region.changeConfig(func() { c.region.routePorts = append(slices.Clone(ports), extraPort) })
		c.verifier.mu.Lock()
		delete(c.verifier.routeRemoved, extraPort)
		c.verifier.routeAdded[extraPort] = time.Now()
		c.verifier.mu.Unlock()
		time.Sleep(d)
		c.verifier.mu.Lock()
		delete(c.verifier.routeAdded, extraPort)
		c.verifier.mu.Unlock()
		c.region.changeConfig(func() { c.region.routePorts = ports })
		c.verifier.mu.Lock()
		c.verifier.routeRemoved[extraPort] = time.Now()
		c.verifier.mu.Unlock()
	})
}
