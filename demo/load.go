package demo

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/standin/caller"
)

const (
	// maxBrokenShown is how many flows broken by planned changes are printed.
	maxBrokenShown = 20
	// crashTime bounds the time that it takes to stop a crashed target and its agent.
	// Flows opened in this time are lost in the crash too.
	crashTime = 500 * time.Millisecond
	// minLifetimeShare and maxLifetimeShare bound the lifetime of a flow, as
	// shares of the length of the run.
	minLifetimeShare = 0.2
	maxLifetimeShare = 1.5
	openInterval     = 20 * time.Millisecond
	// rampShare is the share of a run in which the flows are opened.
	rampShare = 0.12
	// measureFrom is the share of a run from which imbalance is measured. The
	// first flows are open by then.
	measureFrom = 0.16
	// steadyMeasureFrom is the same for ScenarioSteady, in which the speeds of
	// the targets must have been learned first.
	steadyMeasureFrom = 0.4
	minSteadyLifetime = 3 * time.Second
	maxSteadyLifetime = 9 * time.Second
)

// generateLoad keeps the number of live flows near Options.Flows.
func (r *Run) generateLoad() {
	defer r.wait.Done()
	rng := rand.New(rand.NewPCG(r.options.Seed, 6))
	t := time.NewTicker(openInterval)
	defer t.Stop()
	perTick := float64(r.options.Flows) / r.rampTime().Seconds() * openInterval.Seconds()
	credit := 0.0
	for time.Since(r.started) < r.options.Length {
		<-t.C
		live := 0
		for _, c := range r.callers {
			live += c.OpenFlows()
		}
		r.mu.Lock()
		r.report.LiveFlowsMax = max(r.report.LiveFlowsMax, live)
		r.mu.Unlock()
		credit = min(credit+perTick, float64(r.options.Flows-live))
		for ; credit >= 1; credit-- {
			r.openFlow(rng)
		}
	}
}

// rampTime returns the time over which Options.Flows flows are opened. The
// short flows of ScenarioSteady must be opened faster than they end.
func (r *Run) rampTime() time.Duration {
	if r.options.Scenario == ScenarioSteady {
		return minSteadyLifetime
	}
	return time.Duration(rampShare * float64(r.options.Length))
}

// openFlow opens a flow in a random region, to one of its services drawn in
// proportion to the capacity of their targets.
func (r *Run) openFlow(rng *rand.Rand) {
	n := rng.IntN(len(r.regions))
	g := r.regions[n]
	s := g.deployment.Services[0]
	if rng.Float64() < secondServiceShare(g.deployment) {
		s = g.deployment.Services[1]
	}
	lifetime := (minLifetimeShare + rng.Float64()*(maxLifetimeShare-minLifetimeShare)) * float64(r.options.Length)
	if r.options.Scenario == ScenarioSteady {
		lifetime = float64(minSteadyLifetime) + rng.Float64()*float64(maxSteadyLifetime-minSteadyLifetime)
	}
	r.mu.Lock()
	r.report.FlowsOpened++
	r.mu.Unlock()
	r.callers[n].Open(s.Name, netip.MustParseAddrPort(s.Address), time.Duration(lifetime))
}

// secondServiceShare returns the share of a region's capacity that its second
// service has.
func secondServiceShare(d Deployment) float64 {
	a := totalSpeed(d.Services[0])
	b := totalSpeed(d.Services[1])
	return b / (a + b)
}

func totalSpeed(s Service) float64 {
	sum := 0.0
	for _, t := range s.Targets {
		sum += t.Speed
	}
	return sum
}

// sampleLoads samples the loads of the targets every sampleInterval.
func (r *Run) sampleLoads() {
	defer r.wait.Done()
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for time.Since(r.started) < r.options.Length {
		<-t.C
		if m := r.meter(time.Since(r.started).Seconds() / r.options.Length.Seconds()); m != nil {
			r.addSamples(m)
		}
	}
}

// meter returns the meter that takes the samples at a time of the run, given as
// a share of its length, or nil if none are taken.
func (r *Run) meter(at float64) *imbalanceMeter {
	steady := r.options.Scenario == ScenarioSteady
	switch {
	case at < measureFrom || (steady && at < steadyMeasureFrom):
		return nil
	case steady || at < shiftSteps()[0].at:
		return &r.steadyMeter
	}
	return &r.changingMeter
}

func (r *Run) addSamples(m *imbalanceMeter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.regions {
		for _, s := range g.deployment.Services {
			m.add(s.Name, g.loads(s))
		}
	}
}

// loads returns the loads of a service's targets that accept new flows and are
// warm, relative to the capacities of their backend servers.
func (g *region) loads(s Service) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []float64
	for _, t := range s.Targets {
		a := g.agents[t.Name]
		if a == nil || a.State().Limit == 0 || a.State().Cold {
			continue
		}
		b := g.backends[t.Name]
		l = append(l, float64(b.Active())/float64(b.Capacity()))
	}
	return l
}

// finish closes the flows and the system, collects the results and checks the
// invariants.
func (r *Run) finish() {
	r.cancel()
	for _, c := range r.callers {
		c.Close()
	}
	r.wait.Wait()
	r.collect()
	r.close()
	r.report.checkInvariants()
}

// collect reads the counters of the running instances and counts the flows by how
// they ended.
func (r *Run) collect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.report
	p.Seconds = r.options.Length.Seconds()
	p.Seed = r.options.Seed
	p.Faults = r.options.Faults
	for _, g := range r.regions {
		r.collectRegion(g)
	}
	for _, e := range r.results {
		r.collectResult(e)
	}
	c := r.objectStore.Calls()
	p.PlatformCallsPerSecond = float64(c.Reads+c.Writes+c.Watches) / time.Since(r.started).Seconds()
	p.InForceP50MS = float64(r.inForceTimes.ValueAtQuantile(50)) / 1000
	p.InForceP99MS = float64(r.inForceTimes.ValueAtQuantile(99)) / 1000
	p.InForceMaxMS = float64(r.inForceTimes.Max()) / 1000
	p.ImbalanceMaxOverMean = r.steadyMeter.mean()
	p.ImbalanceWorstWindow = r.steadyMeter.worstWindow
	p.ImbalanceDuringChanges = r.changingMeter.mean()
}

func (r *Run) collectRegion(g *region) {
	p := &r.report
	seconds := time.Since(r.started).Seconds()
	for _, b := range g.backends {
		p.ColdOverloads += b.ColdOverloads.Load()
		p.Overloads += b.Overloads.Load()
	}
	for _, a := range g.agents {
		s := a.State().Stats
		p.RefusedWithRoom += s.RefusedWithRoom
		p.InternalViolations += s.Violations
		sent, received := a.ControlBytes()
		p.ControlBytesPerSecondMax = max(p.ControlBytesPerSecondMax, float64(sent+received)/seconds)
	}
	for _, b := range g.balancers {
		s := b.State().Stats
		p.ChangesReverted += s.StaleDocuments
		p.InternalViolations += s.Violations
		sent, received := b.ControlBytes()
		p.ControlBytesPerSecondMax = max(p.ControlBytesPerSecondMax, float64(sent+received)/seconds)
	}
}

// collectResult counts how one flow ended.
func (r *Run) collectResult(e caller.Result) {
	p := &r.report
	switch e.Outcome {
	case caller.OutcomeRefused:
		p.FlowsRefused++
	case caller.OutcomeUnanswered:
		p.FlowsUnanswered++
	case caller.OutcomeWrong:
		p.Misdelivered++
	case caller.OutcomeReset, caller.OutcomeSilent:
		r.collectBroken(e)
	case caller.OutcomeDone:
	}
}

func (r *Run) collectBroken(e caller.Result) {
	p := &r.report
	if r.lostInCrash(e) {
		p.BrokenCrashed++
		return
	}
	if r.lostWithDomain(e) {
		p.BrokenDomainOut++
		return
	}
	p.BrokenPlanned++
	if p.BrokenPlanned <= maxBrokenShown {
		at := e.Ended.Sub(r.started).Seconds()
		r.progress("broken: %s flow at %s, %s after %d lines, ended at %.2f s", e.Service, e.Target, e.Outcome, e.Lines, at)
	}
}

// lostInCrash reports whether a flow ended because its target crashed. A flow
// without an answer has no known target: it may have been at any target of the
// service.
func (r *Run) lostInCrash(e caller.Result) bool {
	for name, at := range r.crashes {
		same := e.Target == name || (e.Lines == 0 && strings.HasPrefix(name, e.Service+"-"))
		if same && e.Opened.Before(at.Add(crashTime)) && e.Ended.After(at) {
			return true
		}
	}
	return false
}

// lostWithDomain reports whether a flow ended because its target's failure
// domain was taken out of service. The times are those of the steps in
// shiftSteps. A flow without an answer may have been at any target.
func (r *Run) lostWithDomain(e caller.Result) bool {
	from := r.started.Add(time.Duration(0.44 * float64(r.options.Length)))
	to := r.started.Add(time.Duration(0.60 * float64(r.options.Length))).Add(changeTimeout)
	if e.Ended.Before(from) || e.Ended.After(to) {
		return false
	}
	if e.Lines == 0 {
		return e.Opened.Before(from.Add(time.Second))
	}
	for _, g := range r.regions {
		if g.inDomainOut(e.Target) {
			return true
		}
	}
	return false
}

// inDomainOut reports whether a target is in the failure domain that the run
// takes out of service.
func (g *region) inDomainOut(target string) bool {
	for _, s := range g.deployment.Services {
		for _, t := range s.Targets {
			if t.Name == target && t.Domain == g.domainOut() {
				return true
			}
		}
	}
	return false
}
