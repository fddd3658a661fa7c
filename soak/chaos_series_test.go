package soak

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/standin/usersbackend"
	"github.com/lentilshed/lentilshed/standin/usersstore"
)

const (
	// seriesGap is the time between two restarts of one role, and seriesDowntime the time
	// from the end of a process to its next start.
	seriesGap      = 800 * time.Millisecond
	seriesDowntime = 300 * time.Millisecond
)

// restartInSeries restarts the agents and the balancers in turn until the given time, one
// process of each role at a time.
func (c *chaos) restartInSeries(end time.Time) {
	var balancers, agents []int
	for _, n := range c.region.instances() {
		if n < firstAgent {
			balancers = append(balancers, n)
		} else {
			agents = append(agents, n)
		}
	}
	for _, l := range [...][]int{balancers, agents} {
		c.wait.Go(func() {
			for time.Now().Before(end) {
				c.restartInTurn(l, end)
			}
		})
	}
}

func (c *chaos) restartInTurn(l []int, end time.Time) {
	for _, n := range l {
		if time.Now().After(end) {
			return
		}
		if !c.claim(c.busyProcesses, n) {
			continue
		}
		c.verifier.recordEvent("stop %s in turn", nameOf(n))
		c.verifier.markRestarting(time.Now().Add(stopTimeout), n)
		c.stopChecked(n)
		time.Sleep(seriesDowntime)
		c.restart(n)
		c.verifier.markRestarting(time.Now(), n)
		c.release(c.busyProcesses, n)
		time.Sleep(seriesGap)
	}
}

// loweredIdleTimeout is declared for some seconds by lowerIdleTimeout.
const loweredIdleTimeout = 5 * time.Second

// lowerIdleTimeout lowers the idle timeout and raises it again.
func (c *chaos) lowerIdleTimeout() {
	d := c.between(4*time.Second, 8*time.Second)
	c.runExclusive(c.busyProcesses, -3, func() {
		c.verifier.recordEvent("idle timeout is %s for %s", loweredIdleTimeout, d)
		c.verifier.mu.Lock()
		c.verifier.lowIdleTimeout = loweredIdleTimeout
		c.verifier.raisedAt = time.Time{}
		c.verifier.mu.Unlock()
		c.region.changeConfig(func() { c.region.idleTimeout = loweredIdleTimeout })
		time.Sleep(d)
		c.region.changeConfig(func() { c.region.idleTimeout = maxIdleTimeout })
		c.verifier.recordEvent("idle timeout is %s", maxIdleTimeout)
		c.verifier.mu.Lock()
		c.verifier.raisedAt = time.Now()
		c.verifier.mu.Unlock()
	})
}

// storeRemovesLate makes the store perform removals late and without a response.
func (c *chaos) storeRemovesLate() {
	c.injectStoreFault("removes late", usersstore.Faults{
		LateRemovals: c.between(time.Second, 6*time.Second),
	})
}

// oddSpecs are what other writers leave in the store.
var oddSpecs = []json.RawMessage{
	json.RawMessage(`{"address":"10.1.0.9:70000","failure_domain":"domain-0"}`),
	json.RawMessage(`{"address":"10.1.0.9:0"}`),
	json.RawMessage(`{"address":"127.0.0.1:1","service":7}`),
	json.RawMessage(`{"address":"127.0.0.1:1","backend_born":1e400}`),
	json.RawMessage(strings.Repeat(`[{"a":`, 2000) + "1" + strings.Repeat("}]", 2000)),
	json.RawMessage(`null`),
}

// oddEntry leaves an odd entry in one of the lists for a time.
func (c *chaos) oddEntry() {
	kinds := []string{"lentilshed-agents", "lentilshed-balancers", "lentilshed-flows-domain-0"}
	kind, i, d := kinds[c.rand.IntN(len(kinds))], c.rand.IntN(len(oddSpecs)), c.between(time.Second, 6*time.Second)
	c.wait.Go(func() {
		name := fmt.Sprintf("odd-%d", i)
		c.verifier.recordEvent("odd entry %s/%s for %s", kind, name, d)
		c.region.store.Put(kind, name, oddSpecs[i])
		time.Sleep(d)
		c.region.store.Delete(kind, name)
	})
}

// foreignHeartbeat sends an agent a malformed heartbeat of another writer.
func (c *chaos) foreignHeartbeat() {
	n, i := c.agent(), c.rand.IntN(usersbackend.MalformedHeartbeats())
	c.wait.Go(func() {
		acked := c.region.server(n).SendMalformedHeartbeat(i)
		c.verifier.recordEvent("malformed heartbeat %d at %s", i, nameOf(n))
		if acked {
			c.verifier.addViolation("malformed heartbeat %d was acknowledged by %s", i, nameOf(n))
		}
	})
}
