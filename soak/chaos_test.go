package soak

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaos injects random faults and operations into a region. Actions run concurrently and
// may overlap.
type chaos struct {
	region   *region
	verifier *verifier
	rand     *rand.Rand
	wait     sync.WaitGroup
	// mu guards busyProcesses, the instances whose processes an action stops, pauses or
	// reloads, and busyServers, those whose backend servers are being replaced. In
	// busyProcesses, 0 stands for the store, -1 for the failure domains and -2 for the
	// routes.
	mu            sync.Mutex
	busyProcesses map[int]bool
	busyServers   map[int]bool
	callers       *callers
	// plannedOnly is set for seeds with planned operations only, apart from bursts and
	// crashes of backend servers. No instance counts as disturbed, so that the guarantees
	// are checked throughout.
	plannedOnly bool
	// inSeries is set for the seeds of TestSeries, which are planned as well.
	inSeries bool
}

func newChaos(r *region, c *callers, seed uint64) *chaos {
	return &chaos{
		callers:       c,
		plannedOnly:   seed%plannedOneIn == 0 || seed >= firstSeriesSeed,
		inSeries:      seed >= firstSeriesSeed,
		region:        r,
		verifier:      r.verifier,
		rand:          rand.New(rand.NewPCG(seed, 17)),
		busyProcesses: map[int]bool{},
		busyServers:   map[int]bool{},
	}
}

// actions returns the actions to choose from. Each makes its random choices before it
// starts, so that a seed always gives the same actions in the same order.
func (c *chaos) actions() []func() {
	if !c.region.loadAware {
		return c.generalActions()
	}
	return append(c.generalActions(), c.loadActions()...)
}

func (c *chaos) generalActions() []func() {
	if c.inSeries {
		return []func(){
			c.reloadSettings, c.takeDomainOut, c.addAndRemoveRoute, c.crashServer, c.lowerIdleTimeout, c.storeRemovesLate, c.oddEntry, c.foreignHeartbeat, c.foreignHeartbeat,
		}
	}
	if c.plannedOnly {
		return []func(){
			c.stopProcess, c.reloadSettings, c.drainServer, c.drainServer, c.takeDomainOut, c.takeDomainOut, c.addAndRemoveRoute, c.burst, c.crashServer, c.burstOnColdServer,
		}
	}
	return []func(){
		c.killProcess, c.stopProcess, c.pauseProcess, c.reloadSettings,
		c.cutLink, c.cutLinkOneWay, c.slowLink, c.lossyLink, c.cutStoreLink,
		c.stallConnections, c.resetConnections,
		c.storeDown, c.storeSlow, c.storeLosesResponses, c.storeCompacts, c.storeRefuses,
		c.crashServer, c.drainServer, c.losePower, c.takeDomainOut, c.addAndRemoveRoute, c.burst, c.burstOnColdServer,
	}
}

// plannedOneIn selects the seeds with planned operations only: one in plannedOneIn.
const plannedOneIn = 3

// run starts actions until the time has passed, then waits for them to end.
func (c *chaos) run(d time.Duration) {
	l := c.actions()
	if c.region.loadAware && !c.inSeries {
		// Among the other actions, a burst is seldom undisturbed for long enough to be checked.
		c.burstAboveSlots()
		c.wait.Wait()
	}
	end := time.Now().Add(d)
	if c.inSeries {
		c.restartInSeries(end)
	}
	for time.Now().Before(end) {
		l[c.rand.IntN(len(l))]()
		time.Sleep(c.between(150*time.Millisecond, 900*time.Millisecond))
	}
	c.wait.Wait()
}

func (c *chaos) between(a, b time.Duration) time.Duration {
	return a + time.Duration(c.rand.Int64N(int64(b-a)))
}

func (c *chaos) instance() int {
	l := c.region.instances()
	return l[c.rand.IntN(len(l))]
}

func (c *chaos) agent() int { return firstAgent + c.rand.IntN(len(services)) }

// claim reserves an instance for one action at a time, and reports whether it was free.
func (c *chaos) claim(m map[int]bool, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m[n] {
		return false
	}
	m[n] = true
	return true
}

func (c *chaos) release(m map[int]bool, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(m, n)
}

// runExclusive runs f for an instance in the background, unless another action has
// claimed the instance.
func (c *chaos) runExclusive(m map[int]bool, n int, f func()) {
	if !c.claim(m, n) {
		return
	}
	c.wait.Go(func() {
		defer c.release(m, n)
		f()
	})
}

func (c *chaos) restart(n int) {
	if err := c.region.processes[n].start(); err != nil {
		c.verifier.addViolation("%s did not start: %v", nameOf(n), err)
	}
}

func (c *chaos) killProcess() {
	n, d := c.instance(), c.between(50*time.Millisecond, 1500*time.Millisecond)
	c.runExclusive(c.busyProcesses, n, func() {
		c.verifier.recordEvent("kill %s for %s", nameOf(n), d)
		c.verifier.markDisturbed(time.Now().Add(d), n)
		c.region.processes[n].kill()
		time.Sleep(d)
		c.restart(n)
		c.verifier.markDisturbed(time.Now(), n)
	})
}

// stopProcess is a planned operation: flows must survive it.
func (c *chaos) stopProcess() {
	n, d := c.instance(), c.between(50*time.Millisecond, 500*time.Millisecond)
	c.runExclusive(c.busyProcesses, n, func() {
		c.verifier.recordEvent("stop %s", nameOf(n))
		c.stopChecked(n)
		time.Sleep(d)
		c.restart(n)
		c.verifier.recordEvent("started %s", nameOf(n))
	})
}

func (c *chaos) pauseProcess() {
	n, d := c.instance(), c.between(300*time.Millisecond, 4*time.Second)
	c.runExclusive(c.busyProcesses, n, func() {
		c.verifier.recordEvent("pause %s for %s", nameOf(n), d)
		c.verifier.markDisturbed(time.Now().Add(d), n)
		c.region.processes[n].signal(syscall.SIGSTOP)
		time.Sleep(d)
		c.region.processes[n].signal(syscall.SIGCONT)
		c.verifier.markDisturbed(time.Now(), n)
	})
}

// reloadSettings makes a process reload changed settings, which are invalid half of the
// time, and then its former ones.
func (c *chaos) reloadSettings() {
	n, bad := c.instance(), c.rand.IntN(2) == 0
	c.runExclusive(c.busyProcesses, n, func() {
		p := c.region.processes[n]
		b, err := os.ReadFile(p.config)
		if err != nil {
			c.verifier.addViolation("read settings: %v", err)
			return
		}
		// A program that finds invalid settings at its start ends, as it should.
		bad := bad && p.hasStarted()
		c.verifier.recordEvent("reload settings of %s, invalid %v", nameOf(n), bad)
		changed := strings.Replace(string(b), `level = "info"`, `level = "debug"`, 1)
		if bad {
			changed = "[passing]\nrole = 3\n"
		}
		for _, text := range [][]byte{[]byte(changed), b} {
			if err := p.writeSettings(text); err != nil {
				c.verifier.addViolation("write settings: %v", err)
			}
			p.signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// degradeLink applies a fault to the link from one random instance to another, and to the
// link back if both is set, for a random time.
func (c *chaos) degradeLink(f linkFault, both bool) {
	a, b, d := c.instance(), c.instance(), c.between(300*time.Millisecond, 4*time.Second)
	if a == b {
		return
	}
	c.wait.Go(func() {
		c.verifier.recordEvent("link %s to %s %+v, both ways %v, for %s", nameOf(a), nameOf(b), f, both, d)
		c.verifier.markDisturbed(time.Now().Add(d), a, b)
		c.region.proxy.setFault(a, b, f)
		if both {
			c.region.proxy.setFault(b, a, f)
		}
		time.Sleep(d)
		c.region.proxy.setFault(a, b, linkFault{})
		c.region.proxy.setFault(b, a, linkFault{})
	})
}

func (c *chaos) cutLink()       { c.degradeLink(linkFault{cut: true}, true) }
func (c *chaos) cutLinkOneWay() { c.degradeLink(linkFault{cut: true}, false) }
func (c *chaos) slowLink() {
	c.degradeLink(linkFault{delay: c.between(20*time.Millisecond, 600*time.Millisecond)}, true)
}
func (c *chaos) lossyLink() { c.degradeLink(linkFault{loss: 0.1 + 0.3*c.rand.Float64()}, true) }
