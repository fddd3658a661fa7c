package soak

import (
	"time"

	"github.com/lentilshed/lentilshed/standin/usersstore"
)

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
	t.storeTrouble("loses answers", usersstore.Faults{LoseResponses: true})
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
