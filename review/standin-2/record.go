package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record has what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// opens, taken and arrivals are what targets have seen.
	opens    map[flowKey]*target
	taken    []taken
	arrivals map[flowKey][]arrival
	syns     map[flowKey][]time.Time
}

// taken is the first packet of a flow that a target took.
type taken struct {
	target *target
	key    flowKey
	copies uint32
	at     time.Time
}

// arrival is a packet of a flow at a target that holds the flow, or does not.
type arrival struct {
	target *target
	at     time.Time
	held   bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{
		file:     f,
		start:    time.Now(),
		opens:    map[flowKey]*target{},
		arrivals: map[flowKey][]arrival{},
		syns:     map[flowKey][]time.Time{},
	}, err
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, a...)
}

func (r *record) line(format string, a ...any) {
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) sentSyn(f *flow, copies int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syns[f.key] = append(r.syns[f.key], time.Now())
	r.line("%s: SYN %d of %s sent", f.client.name, copies+1, f.name())
}

func (r *record) took(t *target, k flowKey, p packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = append(r.taken, taken{t, k, p.ack, time.Now()})
	r.line("target %s (%s) takes SYN %d of flow %s>%s", t.config.id, t.config.service, p.ack+1, k.client, k.route)
}

func (r *record) opened(t *target, k flowKey, _ packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opens[k] = t
	r.line("target %s (%s) opens flow %s>%s", t.config.id, t.config.service, k.client, k.route)
}

func (r *record) reached(t *target, k flowKey, _ packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[k] = append(r.arrivals[k], arrival{t, time.Now(), true})
}

func (r *record) misplaced(t *target, k flowKey, p packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[k] = append(r.arrivals[k], arrival{t, time.Now(), false})
	r.line("target %s gets a packet (flags %d) of flow %s>%s, which it does not hold", t.config.id, p.flags, k.client, k.route)
}

func (r *record) runs(t *target, k flowKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("target %s (%s) runs request %s of flow %s>%s", t.config.id, t.config.service, id, k.client, k.route)
}

// holderOf returns the target at which a flow opened, or nil.
func (r *record) holderOf(k flowKey) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opens[k]
}

// regressed reports whether the old service took a flow whose first packet was sent more than
// slack after a target of the new service had taken one, since a new version was written. All
// packets went through one front.
func (r *record) regressed(since time.Time, newService, oldService string, slack time.Duration) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var effect time.Time
	for _, t := range r.taken {
		if t.target.config.service == newService && t.at.After(since) {
			effect = t.at
			break
		}
	}
	if effect.IsZero() {
		return false, fmt.Errorf("no target of %s took a flow", newService)
	}
	r.line("the new version has taken effect at %.3f s", effect.Sub(r.start).Seconds())
	n := 0
	for _, t := range r.taken {
		l := r.syns[t.key]
		if t.target.config.service != oldService || int(t.copies) >= len(l) {
			continue
		}
		if late := l[t.copies].Sub(effect); late > slack {
			n++
			r.line("flow %s>%s: SYN %d was sent %d ms after that, and target %s of %s took it", t.key.client, t.key.route, t.copies+1, late.Milliseconds(), t.target.config.id, oldService)
		}
	}
	r.line("%d flows were handled as only the older version allows", n)
	return n > 0, nil
}
