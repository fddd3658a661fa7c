package cost

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxAge bounds the time for which a load is aged. Older reports say nothing.
	maxAge = time.Minute
	// maxSlots bounds the slots of a false report, so that times do not overflow.
	maxSlots = 1024
)

// Aged returns the load after some time in which the backend server got no requests. It is a
// copy; Age changes a load without an allocation.
func (l Load) Aged(d time.Duration, slots uint32) Load {
	l.Queued = slices.Clone(l.Queued)
	l.Age(d, slots)
	return l
}

// Age subtracts the work that a backend server does in some time: first from the running
// requests and then from the waiting ones, the most urgent first. Waiting requests for which
// there is a slot then run. It changes Queued, which must not be shared.
//
// It answers reports that are half a second old, within which a backend server may have
// finished all that it reported.
func (l *Load) Age(d time.Duration, slots uint32) {
	slots = min(slots, maxSlots)
	if d <= 0 || slots == 0 {
		return
	}
	d = min(d, maxAge)
	done := d * time.Duration(min(uint64(slots), l.requests()))
	l.Running, l.Rest, done = drain(l.Running, l.Rest, done)
	for i := range l.Queued {
		q := &l.Queued[i]
		q.Requests, q.Work, done = drain(q.Requests, q.Work, done)
	}
	l.startQueued(slots)
}

// requests returns the number of running and waiting requests.
func (l *Load) requests() uint64 {
	n := uint64(l.Running)
	for _, q := range l.Queued {
		n += uint64(q.Requests)
	}
	return n
}

// drain subtracts work from that of some requests, which are taken for equal, and returns what
// is left of all.
func drain(n uint32, work, done time.Duration) (uint32, time.Duration, time.Duration) {
	if done >= work {
		return 0, 0, done - max(work, 0)
	}
	rest := work - done
	return share(n, rest, work), rest, 0
}

// share returns n times part divided by whole, rounded up. part is at most whole.
func share(n uint32, part, whole time.Duration) uint32 {
	high, low := bits.Mul64(uint64(n), uint64(part))
	q, r := bits.Div64(high, low, uint64(whole))
	if r > 0 {
		q++
	}
	return uint32(q)
}

// startQueued moves waiting requests to free slots, the most urgent first.
func (l *Load) startQueued(slots uint32) {
	kept := l.Queued[:0]
	for _, q := range l.Queued {
		if l.Running < slots && q.Requests > 0 {
			n := min(slots-l.Running, q.Requests)
			work := q.Work / time.Duration(q.Requests) * time.Duration(n)
			if n == q.Requests {
				work = q.Work
			}
			l.Running += n
			l.Rest += work
			q.Requests -= n
			q.Work -= work
		}
		if q.Requests > 0 {
			kept = append(kept, q)
		}
	}
	l.Queued = kept
}
