package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// Limits bounds a queue. A limit of zero or less is the default.
type Limits struct {
	// Packets is the maximum number of packets.
	Packets int
	// Bytes is the maximum size of all packets together.
	Bytes int
}

// Defaults of Limits: about a hundred requests a slot, and little beside the memory of an
// agent.
const (
	DefaultPackets = 512
	DefaultBytes   = 1 << 20
)

// Queue has the waiting requests of one backend server. It is not safe for concurrent use.
//
//	q := queue.New(queue.Limits{})
//	r, ok := q.Add(now, arrival, packet)
//	next := q.Next(now)
type Queue struct {
	limits Limits
	// levels has the requests by priority, the most urgent first. A level that has become
	// empty is kept.
	levels []*level
	// byLeave has all requests by when they have to leave.
	byLeave requestHeap
	pool    pool
	packets int
	bytes   int
	// added counts the requests; it orders those with equal times.
	added uint64
}

// lowerStarts is the number of consecutive starts of which at least one goes to a less urgent
// request while any waits.
const lowerStarts = 16

// New returns an empty queue.
func New(l Limits) *Queue {
	if l.Packets <= 0 {
		l.Packets = DefaultPackets
	}
	if l.Bytes <= 0 {
		l.Bytes = DefaultBytes
	}
	return &Queue{
		limits: l,
		byLeave: requestHeap{
			place: placeLeave,
		},
		pool: pool{
			limit: 2 * l.Bytes,
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.byLeave.list)
}

// Packets returns the number of packets of the waiting requests.
func (q *Queue) Packets() int {
	return q.packets
}

// Bytes returns the size of the packets of the waiting requests.
func (q *Queue) Bytes() int {
	return q.bytes
}

// Fits reports whether a packet of a size can be added.
func (q *Queue) Fits(size int) bool {
	return q.packets < q.limits.Packets && q.bytes+size <= q.limits.Bytes
}

// Add adds a request with its first packet, which it copies. It returns false, and adds
// nothing, if the packet does not fit.
func (q *Queue) Add(now time.Time, a Arrival, p Packet) (*Request, bool) {
	if !q.Fits(len(p.Data)) {
		return nil, false
	}
	r := q.pool.request()
	q.added++
	r.Arrival = a
	r.ArrivedAt = now
	r.sequence = q.added
	r.times[placeDeadline] = a.Deadline
	r.times[placeLeave] = r.leaveAt()
	q.insert(r, nil, p)
	q.level(a.Priority).add(r)
	heap.Push(&q.byLeave, r)
	return r, true
}

// Outcome is what has become of a packet that was to be appended to a waiting request.
type Outcome uint8

const (
	// Held means that the packet waits with the request.
	Held Outcome = iota + 1
	// Absorbed means that the packet repeats a part of one that waits, and was not added.
	Absorbed
	// Full means that the packet does not fit, and was not added.
	Full
)

// Append adds a copy of a packet to a waiting request, in the order of sequence numbers.
func (q *Queue) Append(r *Request, p Packet) Outcome {
	after := r.last
	if segment.Before(p.Segment.Sequence, r.last.end()) {
		after = nil
		for n := r.first; n != nil; n = n.next {
			if n.covers(p) {
				return Absorbed
			}
			if !segment.Before(p.Segment.Sequence, n.Segment.Sequence) {
				after = n
			}
		}
	}
	if !q.Fits(len(p.Data)) {
		return Full
	}
	q.insert(r, after, p)
	return Held
}

// insert adds a copy of a packet to a request behind another one, or in front of all if that
// is nil.
func (q *Queue) insert(r *Request, after *node, p Packet) {
	n := q.pool.node(p)
	q.packets++
	q.bytes += len(p.Data)
	if after == nil {
		n.next = r.first
		r.first = n
	} else {
		n.next = after.next
		after.next = n
	}
	if n.next == nil {
		r.last = n
	}
}

// Next removes and returns the request that starts next, or nil if none waits. Its packets
// are valid until the next call of Recycle.
func (q *Queue) Next(now time.Time) *Request {
	for i, l := range q.levels {
		if l.len() == 0 {
			continue
		}
		switch {
		case !q.waitsBelow(i):
			l.streak = 0
		case l.streak >= lowerStarts-1:
			// One of the lower levels has a request, so the loop goes on to it.
			continue
		default:
			l.streak++
		}
		for _, upper := range q.levels[:i] {
			upper.streak = 0
		}
		r := l.next(now)
		q.Remove(r)
		return r
	}
	return nil
}

func (q *Queue) waitsBelow(i int) bool {
	return slices.ContainsFunc(q.levels[i+1:], func(l *level) bool { return l.len() > 0 })
}

// Due removes and returns a request whose GiveUpAt or StartBy has come, the earliest first, or
// nil if there is none. Its packets are valid until the next call of Recycle.
func (q *Queue) Due(now time.Time) *Request {
	if q.Len() == 0 {
		return nil
	}
	r := q.byLeave.list[0]
	if r.times[placeLeave].After(now) {
		return nil
	}
	q.Remove(r)
	return r
}

// Remove removes a waiting request. Its packets are valid until the next call of Recycle.
func (q *Queue) Remove(r *Request) {
	q.level(r.Priority).remove(r)
	heap.Remove(&q.byLeave, r.places[placeLeave])
	for n := r.first; n != nil; n = n.next {
		q.packets--
		q.bytes -= len(n.Data)
	}
	q.pool.spend(r)
}

// Recycle makes the memory of the requests that were removed available to new ones.
func (q *Queue) Recycle() {
	q.pool.recycle()
}

// AppendWork appends the expected work of the waiting requests by priority to w, the most
// urgent first.
func (q *Queue) AppendWork(w []cost.PriorityWork) []cost.PriorityWork {
	for _, l := range q.levels {
		if l.len() > 0 {
			w = append(w, cost.PriorityWork{
				Priority: l.priority,
				Work:     l.work,
				Requests: uint32(l.len()),
			})
		}
	}
	return w
}

// AppendAhead appends the expected work that goes before new requests, by their priority, to w,
// the most urgent first. Late requests go after new ones of the same priority, so their work
// counts for the next less urgent priority.
func (q *Queue) AppendAhead(now time.Time, w []cost.PriorityWork) []cost.PriorityWork {
	for _, l := range q.levels {
		l.separate(now)
		w = addWork(w, l.priority, l.work-l.lateWork, len(l.onTime.list))
		w = addWork(w, l.priority+min(1, math.MaxUint8-l.priority), l.lateWork, len(l.late.list))
	}
	return w
}

// addWork adds work to the last entry of w, if it has the same priority, or appends one.
func addWork(w []cost.PriorityWork, p routing.Priority, work time.Duration, requests int) []cost.PriorityWork {
	if requests == 0 {
		return w
	}
	if n := len(w); n == 0 || w[n-1].Priority != p {
		w = append(w, cost.PriorityWork{
			Priority: p,
		})
	}
	w[len(w)-1].Work += work
	w[len(w)-1].Requests += uint32(requests)
	return w
}

// level returns the level of a priority, and adds it if there is none.
func (q *Queue) level(p routing.Priority) *level {
	i, ok := slices.BinarySearchFunc(q.levels, p, func(l *level, p routing.Priority) int {
		return cmp.Compare(l.priority, p)
	})
	if !ok {
		q.levels = slices.Insert(q.levels, i, newLevel(p))
	}
	return q.levels[i]
}
