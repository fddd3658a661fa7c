package demo

import (
	"context"
	"time"

	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/standin/fabric"
	"github.com/lentilshed/lentilshed/standin/objectstore"
)

// step is one event of a scenario, at a share of the length of the run.
type step struct {
	at   float64
	name string
	do   func(r *Run) error
}

// shiftSteps returns the steps of ScenarioShift.
func shiftSteps() []step {
	return []step{
		{0.20, "drain one target of each region", (*Run).drainTargets},
		{0.30, "end the drain", (*Run).undrainTargets},
		{0.36, "replace one balancer of each region", (*Run).replaceBalancers},
		{0.44, "take one failure domain of each region out of service", (*Run).takeDomainsOut},
		{0.60, "bring the failure domains back into service", (*Run).bringDomainsBack},
		{0.72, "let one agent of each region leave", (*Run).leaveServices},
		{0.80, "crash one target of each region", (*Run).crashTargets},
		{0.86, "bring the crashed targets back", (*Run).restartTargets},
	}
}

// steps returns the steps of the run's scenario.
func (r *Run) steps() []step {
	if r.options.Scenario == ScenarioSteady {
		return nil
	}
	return shiftSteps()
}

// runSteps opens flows, runs the steps and returns at the end of the run.
func (r *Run) runSteps() error {
	r.started = time.Now()
	r.progress("%d regions are up", len(r.regions))
	r.setFaults(r.options.Faults)
	r.wait.Add(2)
	go r.generateLoad()
	go r.sampleLoads()
	for _, s := range r.steps() {
		at := time.Duration(s.at * float64(r.options.Length))
		time.Sleep(time.Until(r.started.Add(at)))
		r.progress("%s", s.name)
		if err := s.do(r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(r.started.Add(r.options.Length)))
	r.printTargets()
	return nil
}

// printTargets prints the flows of each target, its present and learned
// capacity, and counters of its agent.
func (r *Run) printTargets() {
	for _, g := range r.regions {
		for _, s := range g.deployment.Services {
			for _, t := range s.Targets {
				a := g.agents[t.Name].State()
				b := g.backends[t.Name]
				r.progress("%-14s %-16s flows %4d, can handle %4d, limit %4d, learned capacity %4d, flows at peers %4d, restarts %d, violations %d, unknown flows reset %d, peers not in sync %v, dropped %v",
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
		g.link.SetFaults(f)
	}
	r.objectStore.SetFaults(o)
}

func (r *Run) eachRegion(f func(g *region) error) error {
	for _, g := range r.regions {
		if err := f(g); err != nil {
			return err
		}
	}
	return nil
}

// drainedTarget returns the target that the run drains.
func (g *region) drainedTarget() Target { return g.deployment.Services[0].Targets[1] }

// leavingTarget returns the target whose agent leaves its service during the
// run.
func (g *region) leavingTarget() Target { return g.deployment.Services[0].Targets[2] }

// crashedTarget returns the target that the run crashes.
func (g *region) crashedTarget() Target { return g.deployment.Services[0].Targets[3] }

// domainOut returns the failure domain that the run takes out of service.
func (g *region) domainOut() string { return g.deployment.Domains[0] }

func (r *Run) drainTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.drainedTarget().Name
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

// watchDrain records the time from a drain's acceptance to the last new flow at
// the target.
func (r *Run) watchDrain(g *region, target string, at time.Time) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		b := g.backends[target]
		seen := b.Opened.Load()
		last := int64(0)
		deadline := at.Add(time.Duration(0.09 * float64(r.options.Length)))
		for time.Now().Before(deadline) {
			if n := b.Opened.Load(); n != seen {
				seen = n
				last = time.Since(at).Milliseconds()
			}
			time.Sleep(pollInterval)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.LeavingLastNewFlowMS = max(r.report.LeavingLastNewFlowMS, last)
	}()
}

func (r *Run) undrainTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.drainedTarget().Name
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

func (r *Run) takeDomainsOut() error {
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
		g.removals[d] = &removal{
			since:      at,
			lastPacket: at,
		}
		return nil
	})
}

func (r *Run) bringDomainsBack() error {
	return r.eachRegion(func(g *region) error {
		d := g.domainOut()
		g.mu.Lock()
		record := g.removals[d]
		delete(g.removals, d)
		g.mu.Unlock()
		r.mu.Lock()
		ms := record.lastPacket.Sub(record.since).Milliseconds()
		r.report.DomainOutLastPacketMS = max(r.report.DomainOutLastPacketMS, ms)
		r.mu.Unlock()
		_, err := r.change(g, "bring back domain "+d, func(e *intent.Edit) error {
			e.SetDomainOutOfService(d, false, time.Now())
			return nil
		})
		return err
	})
}

// leaveServices makes one agent of each region leave its service, so that it
// takes no new flows. The agent is not closed and its open flows continue: the
// callers of the demo keep them open for longer than a stop timeout would allow.
func (r *Run) leaveServices() error {
	return r.eachRegion(func(g *region) error {
		t := g.leavingTarget()
		g.mu.Lock()
		a := g.agents[t.Name]
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.ctx, time.Second)
		defer cancel()
		n := a.Leave(ctx)
		r.progress("%s left the service; its %d open flows continue", t.Name, n)
		return nil
	})
}

func (r *Run) crashTargets() error {
	return r.eachRegion(func(g *region) error {
		t := g.crashedTarget().Name
		r.mu.Lock()
		r.crashes[t] = time.Now()
		r.mu.Unlock()
		g.killTarget(t)
		return nil
	})
}

func (r *Run) restartTargets() error {
	return r.eachRegion(func(g *region) error {
		return g.startAgent(g.deployment.Services[0].Name, g.crashedTarget())
	})
}
