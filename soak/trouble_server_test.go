package soak

import "time"

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
