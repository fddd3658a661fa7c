package demo

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/lentilshed/lentilshed/standin/caller"
)

const (
	// brokenShown is how many flows broken by planned changes are described.
	brokenShown = 20
	// crashTime is how long it takes to end a target and its agent here.
	crashTime = 500 * time.Millisecond
	lifeMin   = 0.2
	lifeMax   = 1.5
	openTick  = 20 * time.Millisecond
	// rampShare is the part of a run in which the flows are opened.
	rampShare = 0.12
	// steadyFrom is the share of a run after which the first flows are open.
	steadyFrom = 0.16
	// settledFrom is the same for short flows, which must have learned speeds.
	settledFrom   = 0.4
	steadyLifeMin = 3 * time.Second
	steadyLifeMax = 9 * time.Second
)

// load keeps the number of live flows near the wanted one.
func (r *Run) load() {
	defer r.wait.Done()
	x := rand.New(rand.NewPCG(r.options.Seed, 6))
	t := time.NewTicker(openTick)
	defer t.Stop()
	perTick := float64(r.options.Flows) / r.rampTime().Seconds() * openTick.Seconds()
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
			r.openOne(x)
		}
	}
}

// rampTime is the time in which the wanted flows are opened. Short flows must be
// opened faster than they end.
func (r *Run) rampTime() time.Duration {
	if r.options.Scenario == ScenarioSteady {
		return steadyLifeMin
	}
	return time.Duration(rampShare * float64(r.options.Length))
}

// openOne opens a flow of a service drawn by what its targets bear.
func (r *Run) openOne(x *rand.Rand) {
	n := x.IntN(len(r.regions))
	g := r.regions[n]
	s := g.deployment.Services[0]
	if x.Float64() < s1Share(g.deployment) {
		s = g.deployment.Services[1]
	}
	life := (lifeMin + x.Float64()*(lifeMax-lifeMin)) * float64(r.options.Length)
	if r.options.Scenario == ScenarioSteady {
		life = float64(steadyLifeMin) + x.Float64()*float64(steadyLifeMax-steadyLifeMin)
	}
	r.mu.Lock()
	r.report.FlowsOpened++
	r.mu.Unlock()
	r.callers[n].Open(s.Name, netip.MustParseAddrPort(s.Address), time.Duration(life))
}

// s1Share is the part of a region's capacity that its second service has.
func s1Share(d Deployment) float64 {
	a := speedOf(d.Services[0])
	b := speedOf(d.Services[1])
	return b / (a + b)
}

func speedOf(s Service) float64 {
	sum := 0.0
	for _, t := range s.Targets {
		sum += t.Speed
	}
	return sum
}

// sample reads what the backend servers hold.
func (r *Run) sample() {
	defer r.wait.Done()
	t := time.NewTicker(samplePause)
	defer t.Stop()
	for time.Since(r.started) < r.options.Length {
		<-t.C
		if m := r.meter(time.Since(r.started).Seconds() / r.options.Length.Seconds()); m != nil {
			r.sampleInto(m)
		}
	}
}

// meter returns what takes the samples at a share of the run, or nil.
func (r *Run) meter(at float64) *imbalanceMeter {
	steady := r.options.Scenario == ScenarioSteady
	switch {
	case at < steadyFrom || (steady && at < settledFrom):
		return nil
	case steady || at < shift()[0].at:
		return &r.steady
	}
	return &r.changing
}

func (r *Run) sampleInto(m *imbalanceMeter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.regions {
		for _, s := range g.deployment.Services {
			m.add(s.Name, g.loads(s))
		}
	}
}

// loads lists the load by real capacity of a service's targets that take new
// flows and are warm.
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

// finish ends the flows, stops everything and judges the run.
func (r *Run) finish() {
	r.cancel()
	for _, c := range r.callers {
		c.Close()
	}
	r.wait.Wait()
	r.collect()
	r.close()
	r.report.judge()
}

// collect reads the counters of all instances and sorts the ends of flows.
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
	for _, e := range r.ends {
		r.collectEnd(e)
	}
	c := r.store.Calls()
	p.PlatformCallsPerSecond = float64(c.Reads+c.Writes+c.Watches) / time.Since(r.started).Seconds()
	p.InForceP50MS = float64(r.inForce.ValueAtQuantile(50)) / 1000
	p.InForceP99MS = float64(r.inForce.ValueAtQuantile(99)) / 1000
	p.InForceMaxMS = float64(r.inForce.Max()) / 1000
	p.ImbalanceMaxOverMean = r.steady.mean()
	p.ImbalanceWorstWindow = r.steady.worst
	p.ImbalanceDuringChanges = r.changing.mean()
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

// collectEnd counts how one flow ended.
func (r *Run) collectEnd(e caller.Result) {
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
	if r.wasOut(e) {
		p.BrokenDomainOut++
		return
	}
	p.BrokenPlanned++
	if p.BrokenPlanned <= brokenShown {
		at := e.Ended.Sub(r.started).Seconds()
		r.say("broken: %s flow at %s, %s after %d lines, ended at %.2f s", e.Service, e.Target, e.Outcome, e.Lines, at)
	}
}

// lostInCrash reports whether a flow ended with its crashed target. A flow that
// was not answered yet may have been at any target of the service.
func (r *Run) lostInCrash(e caller.Result) bool {
	for name, at := range r.crashes {
		same := e.Target == name || (e.Lines == 0 && strings.HasPrefix(name, e.Service+"-"))
		if same && e.Opened.Before(at.Add(crashTime)) && e.Ended.After(at) {
			return true
		}
	}
	return false
}

// wasOut reports whether a flow ended with its target's failure domain. A flow
// that was not answered yet may have been at any target.
func (r *Run) wasOut(e caller.Result) bool {
	from := r.started.Add(time.Duration(0.44 * float64(r.options.Length)))
	to := r.started.Add(time.Duration(0.60 * float64(r.options.Length))).Add(stepWait)
	if e.Ended.Before(from) || e.Ended.After(to) {
		return false
	}
	if e.Lines == 0 {
		return e.Opened.Before(from.Add(time.Second))
	}
	for _, g := range r.regions {
		if g.holdsOut(e.Target) {
			return true
		}
	}
	return false
}

// holdsOut reports whether a target is in the failure domain that a run takes
// out.
func (g *region) holdsOut(target string) bool {
	for _, s := range g.deployment.Services {
		for _, t := range s.Targets {
			if t.Name == target && t.Domain == g.domainOut() {
				return true
			}
		}
	}
	return false
}
