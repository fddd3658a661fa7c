package placement_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

const (
	replayHop       = time.Millisecond
	replayBalancers = 6
	replayReport    = 500 * time.Millisecond
	// replayReturn is the time after which a refused caller comes back.
	replayReturn = 300 * time.Millisecond
	// replayTries bounds the targets that one flow is tried at.
	replayTries = 8
)

// replaySpec is a load on servers, read from a data file.
type replaySpec struct {
	Servers, Domains, Requests   int
	Load, Skew, Tail, Loss       float64
	Slowest, Fastest, SlowFactor float64
	Seconds, SilentServers       int
}

// replayClasses are the routes of the users' busiest service.
var replayClasses = [...]routing.Class{
	{
		Priority:  1,
		Objective: 400 * time.Millisecond,
		Timeout:   1000 * time.Millisecond,
	},
	{
		Priority:  2,
		Objective: 800 * time.Millisecond,
		Timeout:   2000 * time.Millisecond,
	},
}

var replayMeans = [...]time.Duration{
	44 * time.Millisecond,
	34 * time.Millisecond,
}

func replayRoute(class int) routing.Address {
	return routing.Address{
		Host: 0xc6120001,
		Port: uint16(443 + class),
	}
}

// replayFlow is one flow of a caller; a refused caller opens another one.
type replayFlow struct {
	class, entry, left  int
	seed                uint64
	began, sent, queued time.Duration
	tried               []bool
	tries               int
	deferred            []*replayServer
	waits, retry        bool
}

type replayServer struct {
	index, domain, slots, running int
	speed                         float64
	silent                        bool
	busy                          float64
	flows                         int
	queue                         []*replayFlow
	learned                       [len(replayClasses)]float64
	starts                        int
}

// replay runs flows against servers that process the most urgent request first. Balancers know
// the servers by delayed reports. With byDelay unset, placement and admission are those without
// load awareness. The queue is the same in both, so that only they are compared.
type replay struct {
	replaySpec
	byDelay bool
	rand    *rand.Rand
	now     time.Duration
	events  replayEvents
	servers []*replayServer
	known   [replayBalancers][]placement.Candidate
	reports [replayBalancers][]time.Duration
	shares  [replayBalancers]placement.RemoteShare
	latency [len(replayClasses)][]time.Duration
	refused int
	// remote counts the flows that were placed in other domains, by report interval.
	remote []float64
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (h replayEvents) Len() int           { return len(h) }
func (h replayEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h replayEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)        { *h = append(*h, x.(replayEvent)) }

func (h *replayEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{
		at: r.now + d,
		do: do,
	})
}

func (r *replay) time() time.Time {
	return time.Unix(1_800_000_000, 0).Add(r.now)
}

func newReplay(spec replaySpec, byDelay bool, seed uint64) *replay {
	r := &replay{
		replaySpec: spec,
		byDelay:    byDelay,
		rand:       rand.New(rand.NewPCG(seed, 5)),
		remote:     make([]float64, 2*spec.Seconds+4),
	}
	for i := range spec.Servers {
		x := &replayServer{
			index:  i,
			domain: i % spec.Domains,
			slots:  2 + i%4,
			speed:  spec.Slowest + (spec.Fastest-spec.Slowest)*r.rand.Float64(),
			silent: i < spec.SilentServers,
		}
		for c, m := range replayMeans {
			x.learned[c] = float64(m) / x.speed
		}
		r.servers = append(r.servers, x)
		r.after(time.Duration(r.rand.Float64()*float64(replayReport)), func() { r.report(x) })
		for b := range replayBalancers {
			r.known[b] = append(r.known[b], placement.Candidate{
				Key:   placement.Rank(uint64(i), 1<<40),
				Local: x.domain == b%spec.Domains,
				Load: &cost.Load{
					Routes: make([]cost.RouteCost, len(replayClasses)),
				},
				Backlog: &placement.Backlog{},
			})
			r.reports[b] = append(r.reports[b], -time.Hour)
		}
	}
	return r
}

// run opens flows for the time of the spec. A slowdown begins after a third of it.
func (r *replay) run() *replay {
	capacity := 0.0
	for _, x := range r.servers {
		capacity += float64(x.slots) * x.speed
	}
	gap := float64(replayMeans[0]+replayMeans[1]) / 2 / (capacity * r.Load) * float64(max(r.Requests, 1))
	end := time.Duration(r.Seconds) * time.Second
	var next func()
	next = func() {
		if r.now > end {
			return
		}
		x := &replayFlow{
			class: r.rand.IntN(len(replayClasses)),
			left:  max(r.Requests, 1),
			began: r.now,
		}
		x.entry = r.rand.IntN(replayBalancers)
		if r.rand.Float64() < r.Skew {
			x.entry -= x.entry % r.Domains
		}
		r.open(x)
		r.after(time.Duration(r.rand.ExpFloat64()*gap), next)
	}
	r.after(replayReport, next)
	if r.SlowFactor > 0 {
		r.after(end/3, func() { r.servers[1].speed *= r.SlowFactor })
	}
	for r.events.Len() > 0 && r.now < end+3*time.Second {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
	return r
}

// report sends the load of a server to all balancers, and loses some reports. A silent server
// reports only in the first second.
func (r *replay) report(x *replayServer) {
	r.after(replayReport, func() { r.report(x) })
	if x.silent && r.now > time.Second {
		return
	}
	l := cost.Load{
		Running: uint32(x.running),
		Rest:    time.Duration(float64(x.running) * (x.learned[0] + x.learned[1]) / 3),
	}
	for c, class := range replayClasses {
		q := cost.PriorityWork{
			Priority: class.Priority,
		}
		for _, f := range x.queue {
			if f.class == c {
				q.Requests++
				q.Work += time.Duration(x.learned[c])
			}
		}
		l.Queued = append(l.Queued, q)
		l.Routes = append(l.Routes, cost.RouteCost{
			Route:           replayRoute(c),
			Mean:            time.Duration(x.learned[c]),
			RequestsPerFlow: float64(max(r.Requests, 1)),
		})
	}
	busy := x.busy
	for b := range replayBalancers {
		if r.rand.Float64() < r.Loss {
			continue
		}
		r.after(replayHop, func() {
			k := &r.known[b][x.index]
			*k.Load = l
			k.Backlog.SetReport(r.time(), l, uint32(x.slots))
			k.Slots = uint32(x.slots)
			k.Busy = busy
			k.Flows = uint32(x.flows)
			k.Placed = 0
			r.reports[b][x.index] = r.now
		})
	}
}

// open places a new flow, which begins anew after a refusal.
func (r *replay) open(x *replayFlow) {
	x.seed = r.rand.Uint64()
	x.tried = make([]bool, len(r.servers))
	x.tries = 0
	x.deferred = nil
	x.waits = false
	x.retry = r.now > x.began
	r.place(x)
}

// place sends the first packet to the next target, in the order of director.
func (r *replay) place(x *replayFlow) {
	limits := placement.NewLimits(replayClasses[x.class], x.retry)
	if !x.waits && (len(x.deferred) < 2 || r.byDelay && len(x.deferred) < 6) {
		i, delay := r.choose(x, limits)
		if len(x.deferred) == 0 || i >= 0 && (!r.byDelay || delay <= limits.Objective) {
			r.send(x, i)
			return
		}
	}
	if len(x.deferred) > 0 {
		s := x.deferred[0]
		x.deferred = x.deferred[1:]
		x.waits = true
		r.after(replayHop, func() { r.arrive(x, s, true) })
		return
	}
	i, _ := r.choose(x, limits)
	r.send(x, i)
}

func (r *replay) send(x *replayFlow, i int) {
	if i < 0 || x.tries >= replayTries && !r.byDelay {
		r.refuse(x)
		return
	}
	x.tried[i] = true
	x.tries++
	k := &r.known[x.entry][i]
	k.Placed++
	k.Backlog.Place(r.time(), replayClasses[x.class].Priority, k.Load.Routes[x.class].Mean)
	r.after(replayHop, func() { r.arrive(x, r.servers[i], false) })
}

func (r *replay) choose(x *replayFlow, limits placement.Limits) (int, time.Duration) {
	var l []placement.Candidate
	var at []int
	for i, k := range r.known[x.entry] {
		if !x.tried[i] {
			k.Silence = r.now - r.reports[x.entry][i]
			l = append(l, k)
			at = append(at, i)
		}
	}
	c := placement.DefaultConfig()
	if !r.byDelay {
		i, _, ok := c.Choose(l, x.seed)
		if !ok {
			return -1, 0
		}
		return at[i], 0
	}
	share := &r.shares[x.entry]
	y, ok := c.ChooseByDelay(r.time(), l, placement.Flow{
		Seed:        x.seed,
		Route:       replayRoute(x.class),
		Priority:    replayClasses[x.class].Priority,
		Limit:       limits.Returned,
		Returned:    x.tries > 0,
		RemoteShare: share.Share(),
	})
	if !ok {
		return -1, 0
	}
	if x.tries == 0 {
		*share = share.Follow(r.time(), y.RemoteShare)
	}
	return at[y.Index], y.Delay
}

// arrive lets the agent of a server accept the flow or return it.
func (r *replay) arrive(x *replayFlow, s *replayServer, back bool) {
	verdict := placement.Accept
	inFlight := s.running + len(s.queue)
	switch {
	case r.byDelay:
		verdict = placement.NewLimits(replayClasses[x.class], x.retry).Admit(r.wait(x, s), time.Duration(s.learned[x.class]), back)
	case inFlight >= 3*s.slots:
		verdict = placement.Refuse
	case inFlight > s.slots && !back:
		verdict = placement.Defer
	}
	if verdict != placement.Accept {
		r.after(replayHop, func() {
			k := &r.known[x.entry][s.index]
			if !back {
				k.Backlog.Remove(r.time(), replayClasses[x.class].Priority, k.Load.Routes[x.class].Mean)
			}
			if verdict == placement.Defer {
				x.deferred = append(x.deferred, s)
			}
			r.place(x)
		})
		return
	}
	if s.domain != x.entry%r.Domains {
		r.remote[min(int(r.now/replayReport), len(r.remote)-1)]++
	}
	s.flows++
	x.sent = x.began
	r.request(x, s)
}

func (r *replay) wait(x *replayFlow, s *replayServer) time.Duration {
	work := float64(s.running) * (s.learned[0] + s.learned[1]) / 3
	ahead := s.running
	for _, f := range s.queue {
		if f.class <= x.class {
			ahead++
			work += s.learned[f.class]
		}
	}
	if ahead < s.slots {
		return 0
	}
	return time.Duration(work / float64(s.slots))
}

func (r *replay) request(x *replayFlow, s *replayServer) {
	x.queued = r.now
	i, _ := slices.BinarySearchFunc(s.queue, x.class+1, func(f *replayFlow, c int) int { return f.class - c })
	s.queue = slices.Insert(s.queue, i, x)
	r.start(s)
}

func (r *replay) start(s *replayServer) {
	for s.running < s.slots && len(s.queue) > 0 {
		x := s.next(r.now)
		s.running++
		work := (0.5 + r.rand.Float64()) / (1 + 6*r.Tail)
		if r.rand.Float64() < r.Tail {
			work *= 7
		}
		d := time.Duration(work * float64(replayMeans[x.class]) / s.speed)
		r.after(d, func() { r.finish(x, s, d) })
	}
	s.busy += 0.1 * (float64(s.running+len(s.queue)) - s.busy)
}

// next takes the next request by the order of the agents' queue: by priority, with one of 16
// starts for the others, those that can no longer meet their objective last.
func (s *replayServer) next(now time.Duration) *replayFlow {
	class := s.queue[0].class
	s.starts++
	if s.starts%16 == 0 {
		class = s.queue[len(s.queue)-1].class
	}
	first := -1
	for i, x := range s.queue {
		inTime := now-x.queued+time.Duration(s.learned[class]) <= replayClasses[class].Objective
		if x.class == class && (inTime || first < 0) {
			first = i
			if inTime {
				break
			}
		}
	}
	x := s.queue[first]
	s.queue = slices.Delete(s.queue, first, first+1)
	return x
}

func (r *replay) finish(x *replayFlow, s *replayServer, d time.Duration) {
	s.running--
	s.learned[x.class] += 0.02 * (float64(d) - s.learned[x.class])
	r.latency[x.class] = append(r.latency[x.class], r.now-x.sent)
	x.left--
	if x.left > 0 {
		think := time.Duration(r.rand.ExpFloat64() * float64(replayReport))
		r.after(think, func() {
			x.sent = r.now
			r.request(x, s)
		})
	} else {
		s.flows--
	}
	r.start(s)
}

// refuse lets the caller come back until its timeout; a request that was never served counts
// as late without bound.
func (r *replay) refuse(x *replayFlow) {
	r.refused++
	if r.now+replayReturn-x.began > replayClasses[x.class].Timeout {
		r.latency[x.class] = append(r.latency[x.class], math.MaxInt64)
		return
	}
	r.after(replayReturn, func() { r.open(x) })
}
