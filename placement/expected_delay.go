package placement

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
)

// Flow is what a choice by expected delay needs to know about a new flow.
type Flow struct {
	// Seed decides which candidates are drawn; see Choose.
	Seed     uint64
	Route    routing.Address
	Priority routing.Priority
	// Limit is the longest delay with which a target accepts the flow.
	Limit time.Duration
	// Returned is set once a target has returned the flow. Only candidates that are known to
	// have room are drawn then, and RemoteShare does not count.
	Returned bool
	// RemoteShare is the share of flows that may go to another failure domain.
	RemoteShare float64
}

// Choice is the result of a choice by expected delay.
type Choice struct {
	Index int
	// Delay is the expected time until the target has processed a request of the flow.
	Delay time.Duration
	// Crowded is true if reports of other failure domains are needed.
	Crowded bool
	// RemoteShare is the share of such flows that should go to other failure domains.
	RemoteShare float64
}

const (
	// drawnTargets is the number of targets that are compared in one failure domain. Lookups
	// query as many first, so they find the flow at once.
	drawnTargets = 3
	// staleAge is the age of a report from which on it says nothing about which requests run:
	// several times as long as a usual request. The mean use still holds.
	staleAge = 200 * time.Millisecond
	// manyRequests is the mean number of requests of a flow above which a flow counts as
	// long: what counts is the use of the target over a minute, not the present wait.
	manyRequests = 2
	// minRemoteMargin is the least difference of delays for which a flow goes to another
	// failure domain: a few round trips between domains.
	minRemoteMargin = 3 * time.Millisecond
	// maxSteadyUse is the use above which delays grow linearly instead of without bound.
	maxSteadyUse = 0.9
	// remoteShareSalt makes the gate of RemoteShare independent of the draw.
	remoteShareSalt = 0x5e3d_11fa_0c27_9b41
)

// group is a group of candidates that a choice is limited to.
type group uint8

const (
	groupAll group = iota
	// groupRoom are those that are not known to be full.
	groupRoom
	// groupSilent are those without a recent report.
	groupSilent
)

// ChooseByDelay returns the candidate with the least expected delay of three that are drawn by
// rank, and false for ok if none is left that may serve the flow within its limit. It answers
// targets of different speeds, requests of different costs and routes of different urgency,
// which the number of requests in flight does not show.
//
// The delay is the wait for the flow's priority and the mean cost of its route at the target.
// For routes whose flows carry many requests, it is the mean cost divided by the share of the
// target that is not in use, because the flow stays. Without learned costs, it depends on slots
// and requests in flight. Candidates of other failure domains are chosen when no local one has
// room, or when RemoteUse is exceeded and the delay is lower by RemoteMargin of a mean cost. If
// the chosen one has no room for the flow, all candidates with room are drawn from.
//
// The choice allocates nothing.
func (c Config) ChooseByDelay(now time.Time, candidates []Candidate, f Flow) (Choice, bool) {
	if !f.Returned {
		x, ok := c.chooseAmong(now, candidates, f, groupAll)
		if !ok || c.mayServe(now, candidates[x.Index], f) {
			return x, ok
		}
		f.Returned = true
	}
	for _, g := range [...]group{groupRoom, groupSilent} {
		if x, ok := c.chooseAmong(now, candidates, f, g); ok {
			return x, true
		}
	}
	return Choice{
		Crowded: true,
	}, false
}

// chooseAmong chooses one candidate of a group.
func (c Config) chooseAmong(now time.Time, candidates []Candidate, f Flow, g group) (Choice, bool) {
	var d drawn
	for i := range candidates {
		if c.includes(now, candidates[i], f, g) {
			d.add(i, Rank(f.Seed, candidates[i].Key), candidates[i].Local, candidates[i].Silence > c.SilenceTimeout)
		}
	}
	costs := d.costs(candidates, f)
	local := c.least(now, candidates, f, costs, d.best(true))
	remote := c.least(now, candidates, f, costs, d.best(false))
	return c.compareDomains(local, remote, f, costs)
}

// compareDomains chooses between the best local and the best remote candidate.
func (c Config) compareDomains(local, remote option, f Flow, costs routeCosts) (Choice, bool) {
	x := Choice{
		Index:   local.index,
		Delay:   time.Duration(local.delay),
		Crowded: local.index < 0 || local.silent || local.use > c.RemoteUse,
	}
	margin := max(c.RemoteMargin*costs.mean, float64(minRemoteMargin))
	goesRemote := false
	switch {
	case local.index < 0 && remote.index < 0:
		return x, false
	case remote.index < 0:
	case local.index < 0, local.silent && !remote.silent:
		x.RemoteShare = 1
		goesRemote = true
	case x.Crowded && remote.delay+margin < local.delay && local.silent == remote.silent:
		x.RemoteShare = (local.delay - remote.delay - margin) / local.delay
		goesRemote = f.Returned || !local.known || gate(f.Seed) < f.RemoteShare
	}
	if goesRemote {
		x.Index = remote.index
		x.Delay = time.Duration(remote.delay)
	}
	return x, true
}

// gate returns a number from 0 to 1 that is the same for all copies of a first packet.
func gate(seed uint64) float64 {
	return float64(Rank(seed, remoteShareSalt)>>11) / (1 << 53)
}

// option is the best candidate of one failure domain or of all others; index is -1 if there is
// none.
type option struct {
	index int
	// delay is the expected delay in nanoseconds, and score what candidates are compared by.
	delay  float64
	score  float64
	use    float64
	silent bool
	// known is true if the target's report says how much work it has.
	known bool
}

// least returns the drawn candidate with the least score.
func (c Config) least(now time.Time, candidates []Candidate, f Flow, costs routeCosts, l *ranks) option {
	best := option{
		index: -1,
	}
	for _, e := range l.entries[:l.n] {
		o := c.weighDelay(now, candidates[e.index], f, costs)
		if best.index < 0 || o.score < best.score {
			best = o
			best.index = e.index
		}
	}
	return best
}

// weighDelay returns the expected delay of the flow at a target, its score and the use of the
// target with the flow.
func (c Config) weighDelay(now time.Time, t Candidate, f Flow, costs routeCosts) option {
	slots := float64(max(t.Slots, 1))
	mean := costs.at(t, f.Route)
	penalty := 0.0
	if t.Cold {
		penalty = c.ColdPenalty
	}
	o := option{
		use:    t.use(newFlowLoad) + penalty,
		silent: t.Silence > c.SilenceTimeout,
		known:  t.loadKnown(),
	}
	switch {
	case costs.long:
		o.delay = mean * (1 + growth(o.use))
		o.score = o.delay
	case o.silent || !o.known:
		o.delay = mean * (1 + o.use)
		o.score = o.delay
	default:
		age := min(float64(t.Silence)/float64(staleAge), 1)
		steady := mean + age*mean*(t.Busy/slots+penalty)
		o.delay = steady + float64(t.Backlog.Ahead(now, f.Priority))/slots
		o.score = steady + float64(t.Backlog.Share(now, f.Priority))/slots
	}
	return o
}

// growth returns the mean number of requests ahead of a new one for each in service, at a use.
func growth(use float64) float64 {
	x := min(use, maxSteadyUse)
	// The slope of x / (1 - x) at maxSteadyUse goes on beyond it.
	return x/(1-x) + max(0, use-maxSteadyUse)/((1-maxSteadyUse)*(1-maxSteadyUse))
}

// includes reports whether a candidate belongs to a group.
func (c Config) includes(now time.Time, t Candidate, f Flow, g group) bool {
	silent := t.Silence > c.SilenceTimeout
	switch g {
	case groupRoom:
		return !silent && c.mayServe(now, t, f)
	case groupSilent:
		return silent
	}
	return true
}

// mayServe reports whether a target may serve a flow within its limit, as far as is known. The
// estimate is optimistic, as a false refusal costs more than a try.
func (c Config) mayServe(now time.Time, t Candidate, f Flow) bool {
	if t.Silence > c.SilenceTimeout || !t.loadKnown() {
		return true
	}
	mean := cost.DefaultMean
	if x, ok := t.Load.Cost(f.Route); ok {
		mean = x.Mean
	}
	wait := t.Backlog.Ahead(now, f.Priority) / time.Duration(max(t.Slots, 1))
	return wait < mean || wait <= f.Limit
}

// loadKnown reports whether the target's latest report says how much work it has.
func (c Candidate) loadKnown() bool {
	return c.Load != nil && c.Backlog != nil && c.Backlog.Known()
}
