package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	stability = 4 * time.Second
	deadline  = 1500 * time.Millisecond
)

func routeAddress(host string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host), port)
}

// load opens a flow for each request, at a steady rate, until stop is closed.
func load(c *client, route netip.AddrPort, every time.Duration, stop chan struct{}, w *sync.WaitGroup) {
	w.Add(1)
	go func() {
		defer w.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			w.Add(1)
			go func() {
				defer w.Done()
				f := c.newFlow(route)
				if f.open() == nil {
					_ = f.request(fmt.Sprintf("%s-%d", c.name, i), deadline)
				}
				f.close()
			}()
		}
	}()
}

// boards opens flows and sends the first request on each.
func boards(c *client, route netip.AddrPort, n int, pause time.Duration) []*flow {
	var l []*flow
	for i := range n {
		f := c.newFlow(route)
		if f.open() == nil && f.request(fmt.Sprintf("%s-first-%d", c.name, i), deadline) == nil {
			l = append(l, f)
		}
		time.Sleep(pause)
	}
	return l
}

// zoneCut opens flows from one zone to targets in another, cuts that zone off for three seconds,
// and uses the flows again once the cut is over for longer than the stability time.
func zoneCut(repo string, rec *record, trouble bool) (bool, error) {
	c, err := newCluster(repo, rec, []spec{
		{"front-muenchen-a-1", "muenchen-a", ""},
		{"front-muenchen-b-1", "muenchen-b", ""},
		{"front-nuernberg-1", "nuernberg", ""},
		{"side-muenchen-a-1", "muenchen-a", "liedlive"},
		{"side-muenchen-a-2", "muenchen-a", "liedlive"},
		{"side-muenchen-a-3", "muenchen-a", "liedlive"},
		{"side-muenchen-a-4", "muenchen-a", "liedlive"},
		{"side-muenchen-b-1", "muenchen-b", "ordo"},
		{"side-nuernberg-1", "nuernberg", "ordo"},
		{"side-nuernberg-2", "nuernberg", "ordo"},
		{"side-nuernberg-3", "nuernberg", "ordo"},
		{"side-nuernberg-4", "nuernberg", "ordo"},
	})
	if err != nil {
		return false, err
	}
	defer c.stop()
	live, ordo := routeAddress("198.18.0.1", 8080), routeAddress("198.18.0.2", 8443)
	c.configure(3, []route{{"r-live", "198.18.0.1", "liedlive", 8080}, {"r-ordo", "198.18.0.2", "ordo", 8443}})
	if err := c.start(); err != nil {
		return false, err
	}
	local, err1 := c.newClient("tablets-muenchen-a", "muenchen-a")
	layouts, err2 := c.newClient("layouts-nuernberg", "nuernberg")
	remote, err3 := c.newClient("boards-nuernberg", "nuernberg")
	if err := errors.Join(err1, err2, err3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	load(local, live, 50*time.Millisecond, stop, &w)
	load(layouts, ordo, 50*time.Millisecond, stop, &w)
	time.Sleep(2 * time.Second)
	flows := boards(remote, live, 20, 50*time.Millisecond)
	if len(flows) < 10 {
		return false, fmt.Errorf("only %d flows opened", len(flows))
	}
	if trouble {
		rec.add("zone muenchen-a is cut off from the other zones")
		c.proxy.cut("muenchen-a")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		c.proxy.cut("")
		rec.add("the cut is over")
	}
	healed := time.Now()
	time.Sleep(stability + time.Second)
	resets, answered := 0, 0
	for i, f := range flows {
		early := f.resetPending()
		holder := rec.holderOf(f.key)
		if holder == nil || !holder.holds(f.key) || early {
			rec.add("%s is not judged (reset early: %v)", f.name(), early)
			continue
		}
		sent := time.Now()
		switch err := f.request(fmt.Sprintf("boards-second-%d", i), deadline); {
		case err == nil:
			answered++
		case errors.Is(err, errReset) && holder.holds(f.key):
			resets++
			rec.add("%s, which target %s holds, was reset %.1f s after the cut", f.name(), holder.config.id, sent.Sub(healed).Seconds())
		}
	}
	close(stop)
	w.Wait()
	rec.add("%d flows: %d answered, %d open ones reset", len(flows), answered, resets)
	if !c.alive() {
		return false, errors.New("a process ended by itself")
	}
	if resets == 0 && answered == 0 {
		return false, errors.New("no flow could be judged")
	}
	return resets > 0, nil
}

// malformedHeartbeat lets another writer send each agent one heartbeat in which a field is missing
// or of another type.
func malformedHeartbeat(repo string, rec *record, trouble bool) (bool, error) {
	c, err := newCluster(repo, rec, []spec{
		{"front-muenchen-a-1", "muenchen-a", ""},
		{"front-nuernberg-1", "nuernberg", ""},
		{"side-muenchen-a-1", "muenchen-a", "liedlive"},
		{"side-muenchen-a-2", "muenchen-a", "liedlive"},
		{"side-nuernberg-1", "nuernberg", "liedlive"},
	})
	if err != nil {
		return false, err
	}
	defer c.stop()
	live := routeAddress("198.18.0.1", 8080)
	c.configure(3, []route{{"r-live", "198.18.0.1", "liedlive", 8080}})
	if err := c.start(); err != nil {
		return false, err
	}
	x, err := c.newClient("boards-muenchen-a", "muenchen-a")
	if err != nil {
		return false, err
	}
	flows := boards(x, live, 20, 20*time.Millisecond)
	if len(flows) < 10 {
		return false, fmt.Errorf("only %d flows opened", len(flows))
	}
	// The next heartbeats of the targets themselves have come by then.
	time.Sleep(stability + time.Second)
	if trouble {
		for machine, malform := range map[string]func(map[string]any){
			"side-muenchen-a-1": func(h map[string]any) { delete(h, "zone") },
			"side-muenchen-a-2": func(h map[string]any) { delete(h, "version") },
			"side-nuernberg-1":  func(h map[string]any) { h["zone"] = 7 },
		} {
			m := c.machine(machine)
			h := m.target.heartbeat()
			h["born"] = time.Now().UnixMilli()
			h[wire("sequence")] = 1
			malform(h)
			status, err := postHeartbeat(m.target.config.control, "i-other", h)
			rec.add("another writer sends %s the heartbeat %s: status %d, %v", m.name, encode(h), status, err)
		}
	}
	time.Sleep(2 * time.Second)
	resets, answered := 0, 0
	for i, f := range flows {
		holder := rec.holderOf(f.key)
		if holder == nil || !holder.holds(f.key) {
			continue
		}
		if f.resetPending() {
			resets++
			rec.add("%s, which target %s holds, was reset by the system", f.name(), holder.config.id)
			continue
		}
		switch err := f.request(fmt.Sprintf("boards-second-%d", i), deadline); {
		case err == nil:
			answered++
		case errors.Is(err, errReset) && holder.holds(f.key):
			resets++
			rec.add("%s, which target %s holds, was reset by the system", f.name(), holder.config.id)
		}
	}
	rec.add("%d flows: %d answered, %d open ones reset", len(flows), answered, resets)
	if !c.alive() {
		return false, errors.New("a process ended by itself")
	}
	return resets > 0, nil
}

// routeMoved moves a route to another service and back, six times in all. Each time the process
// beside a target of the service that had the route is killed and started again. It looks for flows
// whose SYN was sent after the new version had taken effect and that the old service took all the
// same.
func routeMoved(repo string, rec *record, trouble bool) (bool, error) {
	c, err := newCluster(repo, rec, []spec{
		{"front-muenchen-a-1", "muenchen-a", ""},
		{"side-muenchen-a-1", "muenchen-a", "liedlive"},
		{"side-muenchen-a-2", "muenchen-a", "liedlive"},
		{"side-muenchen-a-3", "muenchen-a", "liedlive"},
		{"side-muenchen-a-4", "muenchen-a", "ordo"},
		{"side-muenchen-a-5", "muenchen-a", "ordo"},
	})
	if err != nil {
		return false, err
	}
	defer c.stop()
	address := routeAddress("198.18.0.1", 8080)
	c.configure(3, []route{{"r-old", "198.18.0.1", "liedlive", 8080}})
	if err := c.start(); err != nil {
		return false, err
	}
	x, err := c.newClient("boards-muenchen-a", "muenchen-a")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	load(x, address, 8*time.Millisecond, stop, &w)
	time.Sleep(3 * time.Second)
	broken := false
	services := []string{"liedlive", "ordo"}
	beside := []string{"side-muenchen-a-1", "side-muenchen-a-4"}
	for round := range 6 {
		from, to := services[round%2], services[(round+1)%2]
		killed := c.machine(beside[round%2])
		if trouble {
			c.kill(killed)
		}
		time.Sleep(300 * time.Millisecond)
		begin := time.Now()
		c.configure(9+2*round, []route{{"r-" + to, "198.18.0.1", to, 8080}})
		time.Sleep(200 * time.Millisecond)
		if trouble {
			if err := c.startProcess(killed); err != nil {
				return false, err
			}
		}
		time.Sleep(stability + time.Second)
		regressed, err := rec.regressed(begin, to, from, 250*time.Millisecond)
		if err != nil {
			return false, err
		}
		broken = broken || regressed
	}
	close(stop)
	w.Wait()
	if !c.alive() {
		return false, errors.New("a process ended by itself")
	}
	return broken, nil
}

// lostMachines replaces the four side machines of one zone three times over, one at a time: a
// machine is lost for good, and another one is added at a new address. Then it starts a front node
// of another zone again, opens flows through it to the targets in that zone, and uses them again
// after a pause.
func lostMachines(repo string, rec *record, trouble bool) (bool, error) {
	specs := []spec{
		{"front-muenchen-a-1", "muenchen-a", ""},
		{"front-muenchen-b-1", "muenchen-b", ""},
		{"front-nuernberg-1", "nuernberg", ""},
		{"side-muenchen-b-1", "muenchen-b", "ordo"},
	}
	for i := range 4 {
		specs = append(specs, spec{fmt.Sprintf("side-nuernberg-%d", i+1), "nuernberg", "ordo"})
	}
	const kept, lost = 4, 12
	for i := range kept + lost {
		specs = append(specs, spec{fmt.Sprintf("side-muenchen-a-%d", i+1), "muenchen-a", "liedlive"})
	}
	c, err := newCluster(repo, rec, specs)
	if err != nil {
		return false, err
	}
	defer c.stop()
	for i := range lost {
		c.machine(fmt.Sprintf("side-muenchen-a-%d", kept+i+1)).later = true
	}
	live, ordo := routeAddress("198.18.0.1", 8080), routeAddress("198.18.0.2", 8443)
	c.configure(3, []route{{"r-live", "198.18.0.1", "liedlive", 8080}, {"r-ordo", "198.18.0.2", "ordo", 8443}})
	if err := c.start(); err != nil {
		return false, err
	}
	for i := 1; trouble && i <= lost; i++ {
		c.remove(c.machine(fmt.Sprintf("side-muenchen-a-%d", i)))
		added := c.machine(fmt.Sprintf("side-muenchen-a-%d", i+kept))
		if err := c.startMachine(added); err != nil {
			return false, err
		}
		time.Sleep(700 * time.Millisecond)
	}
	// Planned work, in both runs.
	front := c.machine("front-nuernberg-1")
	c.terminate(front)
	time.Sleep(300 * time.Millisecond)
	if err := c.startProcess(front); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	local, err1 := c.newClient("tablets-muenchen-a", "muenchen-a")
	layouts, err2 := c.newClient("layouts-nuernberg", "nuernberg")
	remote, err3 := c.newClient("boards-nuernberg", "nuernberg")
	if err := errors.Join(err1, err2, err3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	load(local, live, 40*time.Millisecond, stop, &w)
	load(layouts, ordo, 50*time.Millisecond, stop, &w)
	time.Sleep(15 * time.Second)
	flows := boards(remote, live, 20, 50*time.Millisecond)
	if len(flows) < 10 {
		return false, fmt.Errorf("only %d flows opened", len(flows))
	}
	time.Sleep(8 * time.Second)
	return c.useAgain(flows, stop, &w)
}

// useAgain sends a second request on each flow, and reports whether one was reset that its target
// holds. It ends the load.
func (c *cluster) useAgain(flows []*flow, stop chan struct{}, w *sync.WaitGroup) (bool, error) {
	resets, answered := 0, 0
	for i, f := range flows {
		holder := c.rec.holderOf(f.key)
		if holder == nil || !holder.holds(f.key) {
			continue
		}
		if f.resetPending() {
			resets++
			c.rec.add("%s, which target %s holds, was reset by the system", f.name(), holder.config.id)
			continue
		}
		switch err := f.request(fmt.Sprintf("%s-second-%d", f.client.name, i), deadline); {
		case err == nil:
			answered++
		case errors.Is(err, errReset) && holder.holds(f.key):
			resets++
			c.rec.add("%s, which target %s holds, was reset by the system", f.name(), holder.config.id)
		}
	}
	close(stop)
	w.Wait()
	c.rec.add("%d flows: %d answered, %d open ones reset", len(flows), answered, resets)
	if !c.alive() {
		return false, errors.New("a process ended by itself")
	}
	if resets == 0 && answered == 0 {
		return false, errors.New("no flow could be judged")
	}
	return resets > 0, nil
}
