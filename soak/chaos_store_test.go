package soak

import (
	"time"

	"github.com/lentilshed/lentilshed/standin/usersstore"
)

func (c *chaos) cutStoreLink() {
	n, d := c.instance(), c.between(500*time.Millisecond, 5*time.Second)
	c.wait.Go(func() {
		c.verifier.recordEvent("cut %s from the store for %s", nameOf(n), d)
		c.verifier.markDisturbed(time.Now().Add(d), n)
		c.region.proxy.setFault(n, 0, linkFault{cut: true})
		time.Sleep(d)
		c.region.proxy.setFault(n, 0, linkFault{})
	})
}

// stallConnections and resetConnections disturb all instances.
func (c *chaos) stallConnections() { c.breakConnections(false) }
func (c *chaos) resetConnections() { c.breakConnections(true) }

func (c *chaos) breakConnections(reset bool) {
	c.verifier.recordEvent("break open connections: reset %v, otherwise stalled", reset)
	c.verifier.markDisturbed(time.Now(), c.region.instances()...)
	c.region.proxy.breakConnections(reset)
}

// injectStoreFault injects faults into the store for a random time, unless it still has
// others.
func (c *chaos) injectStoreFault(name string, f usersstore.Faults) {
	d := c.between(500*time.Millisecond, 4*time.Second)
	c.wait.Go(func() {
		if !c.claim(c.busyProcesses, 0) {
			return
		}
		defer c.release(c.busyProcesses, 0)
		c.verifier.recordEvent("store %s for %s", name, d)
		c.markStoreUnstable(d)
		c.region.store.SetFaults(f)
		time.Sleep(d)
		c.region.store.SetFaults(usersstore.Faults{})
	})
}

func (c *chaos) markStoreUnstable(d time.Duration) {
	c.verifier.mu.Lock()
	defer c.verifier.mu.Unlock()
	if until := time.Now().Add(d); until.After(c.verifier.storeUnstableUntil) {
		c.verifier.storeUnstableUntil = until
	}
}

func (c *chaos) storeDown() { c.injectStoreFault("down", usersstore.Faults{Down: true}) }
func (c *chaos) storeSlow() {
	c.injectStoreFault("slow", usersstore.Faults{Delay: c.between(20*time.Millisecond, 300*time.Millisecond)})
}
func (c *chaos) storeLosesResponses() {
	c.injectStoreFault("loses responses", usersstore.Faults{LoseResponses: true})
}

func (c *chaos) storeCompacts() {
	c.verifier.recordEvent("store compacts its history")
	c.markStoreUnstable(0)
	c.region.store.Compact()
}

func (c *chaos) storeRefuses() {
	n, d := c.instance(), c.between(500*time.Millisecond, 5*time.Second)
	c.wait.Go(func() {
		c.verifier.recordEvent("store refuses %s for %s", nameOf(n), d)
		c.verifier.markDisturbed(time.Now().Add(d), n)
		c.setStoreRefused(n, true)
		time.Sleep(d)
		c.setStoreRefused(n, false)
	})
}

func (c *chaos) setStoreRefused(n int, on bool) {
	c.region.mu.Lock()
	defer c.region.mu.Unlock()
	c.region.storeRefused[n] = on
}
