package demo

import (
	"context"
	"time"

	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/standin/fabric"
	"github.com/lentilshed/lentilshed/standin/objectstore"
)

// step is one event of a shift change, at a share of the run's length.
type step struct {
	at   float64
	name string
	do   func(r *Run) error
}

// shift is the shift change that every run plays.
func shift() []step {
	return []step{
		{0.20, "drain one target of each region", (*Run).drainTargets},
		{0.30, "end the drain", (*Run).undrainTargets},
		{0.36, "replace one balancer of each region", (*Run).replaceBalancers},
		{0.44, "take one failure domain of each region out", (*Run).takeOut},
		{0.60, "bring the failure domains back", (*Run).bringBack},
		{0.72, "let one agent of each region leave", (*Run).leave},
		{0.80, "crash one target of each region", (*Run).crashTargets},
		{0.86, "bring the crashed targets back", (*Run).restartTargets},
	}
}

// steps lists what the scenario plays.
func (r *Run) steps() []step {
	if r.options.Scenario == ScenarioSteady {
		return nil
	}
	return shift()
}

// play opens flows, runs the steps and ends when the time is up.
func (r *Run) play() error {
	r.started = time.Now()
	r.say("%d regions are up", len(r.regions))
	r.setFaults(r.options.Faults)
	r.wait.Add(2)
	go r.load()
	go r.sample()
	for _, s := range r.steps() {
		at := time.Duration(s.at * float64(r.options.Length))
		time.Sleep(time.Until(r.started.Add(at)))
		r.say("%s", s.name)
		if err := s.do(r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(r.started.Add(r.options.Length)))
	r.sayTargets()
	return nil
}

// sayTargets shows what each target holds, and what it was thought to bear.
func (r *Run) sayTargets() {
	for _, g := range r.regions {
		for _, s := range g.deployment.Services {
			for _, t := range s.Targets {
				a := g.agents[t.Name].State()
				b := g.backends[t.Name]
				r.say("%-14s %-16s holds %4d, bears %4d, limit %4d, learned %4d, away %4d, restarts %d, violations %d, unknown reset %d, waits for %v, dropped %v",
					t.Name, t.Domain, b.Active(), b.CurrentCapacity(), a.Limit, a.Capacity, a.FlowsAtPeers, a.Restarts,
					a.Stats.Violations, a.Stats.ResetUnknown, a.UnsyncedPeers, a.Stats.Dropped)
			}
		}
	}
}

// setFaults turns the faults of the network and the platform on or off.
func (r *Run) setFaults(on bool) {
	f := fabric.Faults{}
	o := objectstore.Faults{}
	if on {
		f = fabric.Faults{
			Loss:      0.01,
			Duplicate: 0.01,
			Reorder:   0.02,
		}
		o = objectstore.Faults{
			Delay:         100 * time.Millisecond,
			LostResponses: 0.2,
			BrokenWatches: 0.2,
			Throttled:     0.05,
		}
	}
	for _, g := range r.regions {
		g.fabric.SetFaults(f)
		g.line.SetFaults(f)
	}
	r.store.SetFaults(o)
}

func (r *Run) eachRegion(f func(g *region) error) error {
	for _, g := range r.regions {
		if err := f(g); err != nil {
			return err
		}
	}
	return nil
}

// drained is the target that a run drains.
func (g *region) drained() Target { return g.deployment.Services[0].Targets[1] }

// leaving is the target whose agent a run tells to leave.
func (g *region) leaving() Target { return g.deployment.Services[0].Targets[2] }

// crashed is the target that a run crashes.
func (g *region) crashed() Target { return g.deployment.Services[0].Targets[3] }

// domainOut is the failure domain that a run takes out.
func (g *region) domainOut() string { return g.deployment.Domains[0] }

func (r *Run) drainTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.drained().Name
		at, err := r.change(g, "drain "+t, func(e *intent.Edit) error {
			e.SetDraining(t, true, time.Time{})
			return nil
		})
		if err == nil {
			r.watchDrain(g, t, at)
		}
		return err
	})
}

// watchDrain notes the last new flow at a leaving target.
func (r *Run) watchDrain(g *region, target string, at time.Time) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		b := g.backends[target]
		seen := b.Opened.Load()
		last := int64(0)
		end := at.Add(time.Duration(0.09 * float64(r.options.Length)))
		for time.Now().Before(end) {
			if n := b.Opened.Load(); n != seen {
				seen = n
				last = time.Since(at).Milliseconds()
			}
			time.Sleep(pollPeriod)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.LeavingLastNewFlowMS = max(r.report.LeavingLastNewFlowMS, last)
	}()
}

func (r *Run) undrainTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.drained().Name
		_, err := r.change(g, "undrain "+t, func(e *intent.Edit) error {
			e.SetDraining(t, false, time.Time{})
			return nil
		})
		return err
	})
}

func (r *Run) replaceBalancers() error {
	return r.eachRegion(func(g *region) error {
		d := g.deployment.Domains[r.rand.IntN(len(g.deployment.Domains))]
		g.killBalancer("balancer-" + d)
		return g.startBalancer("balancer-"+d+"-new", d)
	})
}

func (r *Run) takeOut() error {
	return r.eachRegion(func(g *region) error {
		d := g.domainOut()
		at, err := r.change(g, "take out domain "+d, func(e *intent.Edit) error {
			e.SetDomainOutOfService(d, true, time.Now())
			return nil
		})
		if err != nil {
			return err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.out[d] = &outage{
			since: at,
			last:  at,
		}
		return nil
	})
}

func (r *Run) bringBack() error {
	return r.eachRegion(func(g *region) error {
		d := g.domainOut()
		g.mu.Lock()
		o := g.out[d]
		delete(g.out, d)
		g.mu.Unlock()
		r.mu.Lock()
		ms := o.last.Sub(o.since).Milliseconds()
		r.report.DomainOutLastPacketMS = max(r.report.DomainOutLastPacketMS, ms)
		r.mu.Unlock()
		_, err := r.change(g, "bring back domain "+d, func(e *intent.Edit) error {
			e.SetDomainOutOfService(d, false, time.Now())
			return nil
		})
		return err
	})
}

// leave tells an agent to take no new flow. Its flows live on; the callers of
// this demo keep them longer than a stop timeout would.
func (r *Run) leave() error {
	return r.eachRegion(func(g *region) error {
		t := g.leaving()
		g.mu.Lock()
		a := g.agents[t.Name]
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.ctx, time.Second)
		defer cancel()
		n := a.Leave(ctx)
		r.say("%s left the service with %d flows that live on", t.Name, n)
		return nil
	})
}

func (r *Run) crashTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.crashed().Name
		r.mu.Lock()
		r.crashes[t] = time.Now()
		r.mu.Unlock()
		g.killAgent(t)
		return nil
	})
}

func (r *Run) restartTargets() error {
	return r.eachRegion(func(g *region) error {
		return g.startAgent(g.deployment.Services[0].Name, g.crashed())
	})
}
