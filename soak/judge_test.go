package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
)

// Bounds of the users' rules.
const (
	stability    = 4 * time.Second
	misroute     = 2 * time.Second
	drainBound   = 3 * time.Second
	domainBound  = 5 * time.Second
	configBound  = 3 * time.Second
	outerBound   = 12 * time.Second
	coldFactor   = 1.5
	coldSlack    = 5
	firstAddress = 0xc6120001
)

// judge checks what callers and backend servers see against the promises.
type judge struct {
	region *region
	mu     sync.Mutex
	flows  map[flow.Tuple]*caller
	// disturbed is until when an instance was harmed, and unstable the store.
	disturbed map[int]time.Time
	unstable  time.Time
	// out is since when a failure domain is taken out.
	out map[string]time.Time
	// added and removed are when routes of a port were acknowledged.
	added, removed map[int]time.Time
	// rushed is when callers last came in numbers.
	rushed         time.Time
	faults         []string
	resets, served int
	history        []string
}

func newJudge(r *region) *judge {
	return &judge{
		region:    r,
		flows:     map[flow.Tuple]*caller{},
		disturbed: map[int]time.Time{},
		out:       map[string]time.Time{},
		added:     map[int]time.Time{443: time.Now()},
		removed:   map[int]time.Time{},
	}
}

// note keeps a line of what was done, for a failed run.
func (j *judge) note(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.history = append(j.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// fault keeps a broken promise.
func (j *judge) fault(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(format, a...)
}

func (j *judge) broken(format string, a ...any) {
	j.faults = append(j.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// harm notes that instances are harmed until a time.
func (j *judge) harm(until time.Time, instances ...int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range instances {
		if until.After(j.disturbed[n]) {
			j.disturbed[n] = until
		}
	}
}

// inTouch reports whether none of the instances was harmed within the users' time.
func (j *judge) inTouch(instances ...int) bool {
	for _, n := range instances {
		if time.Since(j.disturbed[n]) < stability {
			return false
		}
	}
	return true
}

// late is a bound for declared state: an unstable store stretches it.
func (j *judge) late(bound time.Duration) time.Duration {
	if time.Since(j.unstable) < outerBound+bound+stability {
		return bound + outerBound
	}
	return bound
}

// arrived is a packet at a backend server.
func (j *judge) arrived(b *backend, a usersbackend.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.flows[a.Packet.Tuple]
	switch {
	case c == nil:
		j.broken("a packet of no caller reached %s: %s", nameOf(b.instance), a.Packet.Tuple)
		return
	case !a.Intact:
		j.broken("a packet was changed on its way to %s: %s", nameOf(b.instance), c.tuple)
	case c.service() != b.service:
		j.broken("a packet of %s for %s reached %s of %s", c.tuple, c.service(), nameOf(b.instance), b.service)
	}
	c.path = append(c.path, fmt.Sprintf("%s flags %b at %s held %v", a.At.Format("05.000"), a.Packet.Flags, nameOf(b.instance), a.Held))
	switch {
	case a.Accepted:
		j.opening(b, c, a)
	case a.Opened:
		c.server = b
		c.away = nil
	case a.Held:
		c.away = nil
	case c.server != nil && c.server != b && c.server.alive && !c.ended:
		j.stray(b, c, a)
	}
}

// opening checks the first packet of a flow that a backend server takes.
func (j *judge) opening(b *backend, c *caller, a usersbackend.Arrival) {
	via := []int{c.via, b.instance}
	d := domainOf(b.instance)
	if !b.drained.IsZero() && a.At.Sub(b.drained) > drainBound && j.inTouch(via...) {
		j.broken("a new flow reached %s %s after it said that it leaves: %s", nameOf(b.instance), a.At.Sub(b.drained), c.tuple)
	}
	if since, ok := j.out[d]; ok && a.At.Sub(since) > j.late(domainBound) && j.inTouch(via...) {
		j.broken("a new flow reached %s %s after %s was taken out: %s", nameOf(b.instance), a.At.Sub(since), d, c.tuple)
	}
	p := int(c.tuple.AddressPort)
	if at, ok := j.removed[p]; ok && c.opened.Sub(at) > j.late(configBound) && j.inTouch(via...) {
		j.broken("a flow of a removed route opened %s later: %s", c.opened.Sub(at), c.tuple)
	}
	if a.At.After(b.cold) {
		return
	}
	for len(b.taken) > 0 && a.At.Sub(b.taken[0]) > time.Second {
		b.taken = b.taken[1:]
	}
	b.taken = append(b.taken, a.At)
	if float64(len(b.taken)) > coldRate*coldFactor+coldSlack {
		j.broken("cold %s got %d flows in a second", nameOf(b.instance), len(b.taken))
	}
}

// stray counts packets of an open flow that reach other backend servers.
func (j *judge) stray(b *backend, c *caller, a usersbackend.Arrival) {
	c.away = append(c.away, a.At)
	for len(c.away) > 0 && a.At.Sub(c.away[0]) > misroute {
		c.away = c.away[1:]
	}
	if len(c.away) >= 3 && j.inTouch(b.instance, c.via, c.server.instance) {
		j.broken("packets of the open flow %s reach other backend servers: %v", c.tuple, c.path)
	}
}

// reset checks a reset of the system at a caller; sender is the instance.
func (j *judge) reset(c *caller, sender int) {
	j.resets++
	c.ended = true
	s := c.server
	if s == nil {
		j.refused(c)
		return
	}
	_, dropped := j.removed[int(c.tuple.AddressPort)]
	if s.alive && s.Holds(c.tuple) && !dropped && j.inTouch(sender, c.via, s.instance) {
		j.broken("the live flow %s at %s was reset by %s: %v", c.tuple, nameOf(s.instance), nameOf(sender), c.path)
	}
}

// refused checks a refusal against the configuration.
func (j *judge) refused(c *caller) {
	at, ok := j.added[int(c.tuple.AddressPort)]
	if !ok || c.ack != 0 {
		return
	}
	open := 0
	for n, s := range services {
		b := j.region.server(n)
		_, out := j.out[domainOf(n)]
		if s == c.service() && b.alive && time.Now().After(b.cold) && b.drained.IsZero() && !out && j.inTouch(n) {
			open++
		}
	}
	busy := time.Since(j.rushed) < stability
	if c.opened.Sub(at) > j.late(configBound) && j.inTouch(c.via) && open > 1 && !busy {
		j.broken("the flow %s was refused %s after its route was added, with %d backend servers free", c.tuple, c.opened.Sub(at), open)
	}
}

// answered checks a packet at a caller.
func (j *judge) answered(c *caller, s segment.Segment, b []byte) {
	if !usersbackend.Intact(b) {
		j.broken("a packet for the caller of %s was changed", c.tuple)
	}
	if s.Length > 0 {
		j.served++
		c.served++
	}
}
