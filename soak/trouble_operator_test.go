package soak

import "time"

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
		t.region.store.TakeOutOfService(domain)
		t.judge.mu.Lock()
		t.judge.out[domain] = time.Now()
		t.judge.mu.Unlock()
		time.Sleep(d)
		t.judge.mu.Lock()
		delete(t.judge.out, domain)
		t.judge.mu.Unlock()
		t.region.store.ReturnToService(domain)
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
