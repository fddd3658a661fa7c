package queue

import (
	"container/heap"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// level has the waiting requests of one priority.
type level struct {
	priority routing.Priority
	// onTime has the requests that could still meet their deadline when last looked at, and
	// late those that cannot.
	onTime requestHeap
	late   requestHeap
	// oldest and newest are the ends of the list of all requests in order of arrival.
	oldest *Request
	newest *Request
	work   time.Duration
	// lateWork is the part of work of the requests in late.
	lateWork time.Duration
	starts   uint64
	// streak is the number of requests of this level that were started since a less urgent
	// one was, while such ones waited.
	streak int
}

// oldestStarts is the number of starts of a priority of which one goes to the longest-waiting
// request. The others go to requests that can still be answered in time, whose responses are worth
// more to their callers.
const oldestStarts = 16

func newLevel(p routing.Priority) *level {
	return &level{
		priority: p,
		onTime: requestHeap{
			place: placeDeadline,
		},
		late: requestHeap{
			place: placeDeadline,
		},
	}
}

func (l *level) len() int {
	return len(l.onTime.list) + len(l.late.list)
}

func (l *level) add(r *Request) {
	heap.Push(&l.onTime, r)
	r.older = l.newest
	if l.newest == nil {
		l.oldest = r
	} else {
		l.newest.newer = r
	}
	l.newest = r
	l.work += r.Work
}

func (l *level) remove(r *Request) {
	h := &l.onTime
	if r.late {
		h = &l.late
		l.lateWork -= r.Work
	}
	heap.Remove(h, r.places[placeDeadline])
	if r.older == nil {
		l.oldest = r.newer
	} else {
		r.older.newer = r.newer
	}
	if r.newer == nil {
		l.newest = r.older
	} else {
		r.newer.older = r.older
	}
	l.work -= r.Work
}

// next returns the request that starts next; the level has at least one. Only the request
// with the earliest deadline is checked for being late, as no other one can be chosen before.
func (l *level) next(now time.Time) *Request {
	l.starts++
	if l.starts%oldestStarts == 0 {
		return l.oldest
	}
	l.separate(now)
	if len(l.onTime.list) > 0 {
		return l.onTime.list[0]
	}
	return l.late.list[0]
}

// separate moves the requests with the earliest deadlines to the late ones while they are late.
func (l *level) separate(now time.Time) {
	for len(l.onTime.list) > 0 {
		r := l.onTime.list[0]
		if !now.Add(r.Work).After(r.Deadline) {
			return
		}
		heap.Pop(&l.onTime)
		r.late = true
		l.lateWork += r.Work
		heap.Push(&l.late, r)
	}
}
