package soak

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentilshed/lentilshed/standin/usersstore"
)

// trouble does harm to a region at random. Kinds overlap: each runs by itself.
type trouble struct {
	region *region
	judge  *judge
	rand   *rand.Rand
	wait   sync.WaitGroup
	// busy are instances that are being stopped or started, and backend servers that
	// are being replaced.
	mu       sync.Mutex
	busy     map[int]bool
	changing map[int]bool
	callers  *callers
	// planned is set for seeds with planned work only: there every promise binds.
	planned bool
}

func newTrouble(r *region, c *callers, seed uint64) *trouble {
	return &trouble{
		callers:  c,
		planned:  seed%plannedOneIn == 0,
		region:   r,
		judge:    r.judge,
		rand:     rand.New(rand.NewPCG(seed, 17)),
		busy:     map[int]bool{},
		changing: map[int]bool{},
	}
}

// kinds are all that may happen; each takes its choices before it begins, so that a
// seed always means the same.
func (t *trouble) kinds() []func() {
	if t.planned {
		return []func(){
			t.stopped, t.reread, t.serverLeaves, t.serverLeaves, t.domainOut, t.domainOut, t.routeComesAndGoes, t.rush, t.serverCrashes, t.coldRush,
		}
	}
	return []func(){
		t.killed, t.stopped, t.paused, t.reread,
		t.cut, t.oneWay, t.slowLink, t.lossyLink, t.cutFromStore,
		t.silentConnections, t.resetConnections,
		t.storeDown, t.storeSlow, t.storeLosesAnswers, t.storeForgets, t.storeRefuses,
		t.serverCrashes, t.serverLeaves, t.powerLost, t.domainOut, t.routeComesAndGoes, t.rush, t.coldRush,
	}
}

// plannedOneIn is the part of the seeds with planned work only.
const plannedOneIn = 3

// rushFlows are more new flows than all backend servers of a service take at once, and
// far more than a cold one does.
const rushFlows = 100

// rush has many callers come at once.
func (t *trouble) rush() {
	t.judge.note("%d flows come at once", rushFlows)
	t.judge.mu.Lock()
	defer t.judge.mu.Unlock()
	t.judge.rushed = time.Now()
	for i := range rushFlows {
		t.callers.open(i%2, 443, 300*time.Millisecond)
	}
}

// coldTime is how long a backend server is cold, and coldDelay the time until callers
// rush to it: its agent has heard of it, and its own start is more than a second ago.
const (
	coldTime  = 3 * time.Second
	coldDelay = 700 * time.Millisecond
)

// coldRush has callers come at once while a backend server has just started.
func (t *trouble) coldRush() {
	n := t.agent()
	t.with(t.changing, n, func() {
		t.judge.note("backend server of %s starts anew and cold", nameOf(n))
		t.region.crash(n)
		time.Sleep(100 * time.Millisecond)
		t.startServer(n, coldTime)
		time.Sleep(coldDelay)
		t.rush()
	})
}

// run does harm until the time has passed, and lets it end.
func (t *trouble) run(d time.Duration) {
	l := t.kinds()
	for end := time.Now().Add(d); time.Now().Before(end); {
		l[t.rand.IntN(len(l))]()
		time.Sleep(t.between(150*time.Millisecond, 900*time.Millisecond))
	}
	t.wait.Wait()
}

func (t *trouble) between(a, b time.Duration) time.Duration {
	return a + time.Duration(t.rand.Int64N(int64(b-a)))
}

func (t *trouble) instance() int {
	l := t.region.instances()
	return l[t.rand.IntN(len(l))]
}

func (t *trouble) agent() int { return firstAgent + t.rand.IntN(len(services)) }

// claim reserves an instance, so that its process is not handled twice at a time.
func (t *trouble) claim(m map[int]bool, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m[n] {
		return false
	}
	m[n] = true
	return true
}

func (t *trouble) release(m map[int]bool, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(m, n)
}

// with runs f for an instance that nobody else handles.
func (t *trouble) with(m map[int]bool, n int, f func()) {
	if !t.claim(m, n) {
		return
	}
	t.wait.Go(func() {
		defer t.release(m, n)
		f()
	})
}

func (t *trouble) restart(n int) {
	if err := t.region.processes[n].start(); err != nil {
		t.judge.fault("%s did not start: %v", nameOf(n), err)
	}
}

func (t *trouble) killed() {
	n, d := t.instance(), t.between(50*time.Millisecond, 1500*time.Millisecond)
	t.with(t.busy, n, func() {
		t.judge.note("kill %s for %s", nameOf(n), d)
		t.judge.harm(time.Now().Add(d), n)
		t.region.processes[n].kill()
		time.Sleep(d)
		t.restart(n)
		t.judge.harm(time.Now(), n)
	})
}

// stopped is planned work: flows must survive it.
func (t *trouble) stopped() {
	n, d := t.instance(), t.between(50*time.Millisecond, 500*time.Millisecond)
	t.with(t.busy, n, func() {
		t.judge.note("stop %s", nameOf(n))
		t.region.processes[n].stop()
		time.Sleep(d)
		t.restart(n)
		t.judge.note("started %s", nameOf(n))
	})
}

func (t *trouble) paused() {
	n, d := t.instance(), t.between(300*time.Millisecond, 4*time.Second)
	t.with(t.busy, n, func() {
		t.judge.note("pause %s for %s", nameOf(n), d)
		t.judge.harm(time.Now().Add(d), n)
		t.region.processes[n].signal(syscall.SIGSTOP)
		time.Sleep(d)
		t.region.processes[n].signal(syscall.SIGCONT)
		t.judge.harm(time.Now(), n)
	})
}

// reread changes the settings, for the worse at times, and asks to read them.
func (t *trouble) reread() {
	n, bad := t.instance(), t.rand.IntN(2) == 0
	t.with(t.busy, n, func() {
		p := t.region.processes[n]
		b, err := os.ReadFile(p.config)
		if err != nil {
			t.judge.fault("settings: %v", err)
			return
		}
		t.judge.note("reread %s, bad %v", nameOf(n), bad)
		x := strings.Replace(string(b), `level = "info"`, `level = "debug"`, 1)
		if bad {
			x = "[passing]\nrole = 3\n"
		}
		_ = os.WriteFile(p.config, []byte(x), 0o600)
		p.signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		_ = os.WriteFile(p.config, b, 0o600)
		p.signal(syscall.SIGHUP)
	})
}

// link changes the links between two instances for a time.
func (t *trouble) link(f fault, both bool) {
	a, b, d := t.instance(), t.instance(), t.between(300*time.Millisecond, 4*time.Second)
	if a == b {
		return
	}
	t.wait.Go(func() {
		t.judge.note("link %s to %s %+v, both ways %v, for %s", nameOf(a), nameOf(b), f, both, d)
		t.judge.harm(time.Now().Add(d), a, b)
		t.region.wire.set(a, b, f)
		if both {
			t.region.wire.set(b, a, f)
		}
		time.Sleep(d)
		t.region.wire.set(a, b, fault{})
		t.region.wire.set(b, a, fault{})
	})
}

func (t *trouble) cut()    { t.link(fault{cut: true}, true) }
func (t *trouble) oneWay() { t.link(fault{cut: true}, false) }
func (t *trouble) slowLink() {
	t.link(fault{delay: t.between(20*time.Millisecond, 600*time.Millisecond)}, true)
}
func (t *trouble) lossyLink() { t.link(fault{loss: 0.1 + 0.3*t.rand.Float64()}, true) }

func (t *trouble) cutFromStore() {
	n, d := t.instance(), t.between(500*time.Millisecond, 5*time.Second)
	t.wait.Go(func() {
		t.judge.note("cut %s from the store for %s", nameOf(n), d)
		t.judge.harm(time.Now().Add(d), n)
		t.region.wire.set(n, 0, fault{cut: true})
		time.Sleep(d)
		t.region.wire.set(n, 0, fault{})
	})
}

// silentConnections and resetConnections count as harm to everybody.
func (t *trouble) silentConnections() { t.connections(false) }
func (t *trouble) resetConnections()  { t.connections(true) }

func (t *trouble) connections(reset bool) {
	t.judge.note("open connections: reset %v, else silent", reset)
	t.judge.harm(time.Now(), t.region.instances()...)
	t.region.wire.silence(reset)
}

// storeTrouble changes the store for a time.
func (t *trouble) storeTrouble(name string, f usersstore.Faults) {
	d := t.between(500*time.Millisecond, 4*time.Second)
	t.wait.Go(func() {
		if !t.claim(t.busy, 0) {
			return
		}
		defer t.release(t.busy, 0)
		t.judge.note("store %s for %s", name, d)
		t.storeHarmed(d)
		t.region.store.SetFaults(f)
		time.Sleep(d)
		t.region.store.SetFaults(usersstore.Faults{})
	})
}

func (t *trouble) storeHarmed(d time.Duration) {
	t.judge.mu.Lock()
	defer t.judge.mu.Unlock()
	if x := time.Now().Add(d); x.After(t.judge.unstable) {
		t.judge.unstable = x
	}
}

func (t *trouble) storeDown() { t.storeTrouble("down", usersstore.Faults{Down: true}) }
func (t *trouble) storeSlow() {
	t.storeTrouble("slow", usersstore.Faults{Delay: t.between(20*time.Millisecond, 300*time.Millisecond)})
}
func (t *trouble) storeLosesAnswers() {
	t.storeTrouble("loses answers", usersstore.Faults{LoseAnswers: true})
}

func (t *trouble) storeForgets() {
	t.judge.note("store forgets its history")
	t.storeHarmed(0)
	t.region.store.Compact()
}

func (t *trouble) storeRefuses() {
	n, d := t.instance(), t.between(500*time.Millisecond, 5*time.Second)
	t.wait.Go(func() {
		t.judge.note("store refuses %s for %s", nameOf(n), d)
		t.judge.harm(time.Now().Add(d), n)
		t.refuse(n, true)
		time.Sleep(d)
		t.refuse(n, false)
	})
}

func (t *trouble) refuse(n int, on bool) {
	t.region.mu.Lock()
	defer t.region.mu.Unlock()
	t.region.refused[n] = on
}

func (t *trouble) startServer(n int, cold time.Duration) {
	if err := t.region.startServer(n, cold); err != nil {
		t.judge.fault("backend server of %s did not start: %v", nameOf(n), err)
	}
}

func (t *trouble) serverCrashes() {
	n, d, cold := t.agent(), t.between(20*time.Millisecond, 1500*time.Millisecond), t.rand.IntN(2) == 0
	t.with(t.changing, n, func() {
		t.judge.note("backend server of %s crashes for %s", nameOf(n), d)
		t.region.crash(n)
		time.Sleep(d)
		t.startServer(n, map[bool]time.Duration{true: 2 * time.Second}[cold])
	})
}

// serverLeaves drains a backend server, which ends some seconds later, and starts
// another in its place.
func (t *trouble) serverLeaves() {
	n, d := t.agent(), t.between(200*time.Millisecond, 8*time.Second)
	t.with(t.changing, n, func() {
		b := t.region.server(n)
		acked := b.Drain()
		t.judge.note("backend server of %s leaves, acknowledged %v, ends after %s", nameOf(n), acked, d)
		if acked {
			t.judge.mu.Lock()
			b.drained = time.Now()
			t.judge.mu.Unlock()
		}
		time.Sleep(d)
		b.Deregister()
		t.region.crash(n)
		time.Sleep(50 * time.Millisecond)
		t.startServer(n, 0)
	})
}

func (t *trouble) powerLost() {
	n, d := t.agent(), t.between(100*time.Millisecond, time.Second)
	t.with(t.changing, n, func() {
		if !t.claim(t.busy, n) {
			return
		}
		defer t.release(t.busy, n)
		t.judge.note("%s loses power for %s", nameOf(n), d)
		t.judge.harm(time.Now().Add(d), n)
		t.region.processes[n].kill()
		t.region.crash(n)
		time.Sleep(d)
		t.startServer(n, time.Second)
		t.restart(n)
		t.judge.harm(time.Now(), n)
	})
}

func (t *trouble) domainOut() {
	domain, d := domainOf(t.rand.IntN(domains)), t.between(time.Second, 10*time.Second)
	if t.planned {
		// Long enough for the bound to bind.
		d += domainBound
	}
	t.wait.Go(func() {
		if !t.claim(t.busy, -1) {
			return
		}
		defer t.release(t.busy, -1)
		t.judge.note("%s is taken out for %s", domain, d)
		t.region.store.TakeOut(domain)
		t.judge.mu.Lock()
		t.judge.out[domain] = time.Now()
		t.judge.mu.Unlock()
		time.Sleep(d)
		t.judge.mu.Lock()
		delete(t.judge.out, domain)
		t.judge.mu.Unlock()
		t.region.store.BringBack(domain)
	})
}

const extraPort = 8080

// routeComesAndGoes adds a route, opens flows on it, and removes it.
func (t *trouble) routeComesAndGoes() {
	d := t.between(time.Second, 7*time.Second)
	t.wait.Go(func() {
		if !t.claim(t.busy, -2) {
			return
		}
		defer t.release(t.busy, -2)
		t.judge.note("route %d is added for %s", extraPort, d)
		t.region.ports = []int{443, extraPort}
		t.region.configure()
		t.judge.mu.Lock()
		delete(t.judge.removed, extraPort)
		t.judge.added[extraPort] = time.Now()
		t.judge.mu.Unlock()
		time.Sleep(d)
		t.judge.mu.Lock()
		delete(t.judge.added, extraPort)
		t.judge.mu.Unlock()
		t.region.ports = []int{443}
		t.region.configure()
		t.judge.mu.Lock()
		t.judge.removed[extraPort] = time.Now()
		t.judge.mu.Unlock()
	})
}
