package soak

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trouble does harm to a region at random. Kinds overlap: each runs by itself.
type trouble struct {
	region *region
	judge  *judge
	rand   *rand.Rand
	wait   sync.WaitGroup
	// busy are instances that are being stopped or started, and changing those whose
	// backend servers are being replaced.
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
