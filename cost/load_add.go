package cost

import (
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// With returns the load with one more request of a priority and expected work. It is a copy;
// Add changes a load without an allocation, once Queued has the priority or room for it.
func (l Load) With(p routing.Priority, work time.Duration, slots uint32) Load {
	l.Queued = slices.Clone(l.Queued)
	l.Add(p, work, slots)
	return l
}

// Add adds a request that was placed after the report: to the running ones if a slot is free
// and none waits, or if the slots are not known, else to the waiting ones. It changes Queued,
// which must not be shared.
//
// It answers bursts: without it, a balancer would give all flows of half a second to the backend
// server that was the least loaded in the latest reports.
func (l *Load) Add(p routing.Priority, work time.Duration, slots uint32) {
	work = min(max(work, 0), maxMicros*time.Microsecond)
	if slots == 0 || (l.Running < slots && len(l.Queued) == 0) {
		l.Running = increment(l.Running)
		l.Rest += work
		return
	}
	i, found := slices.BinarySearchFunc(l.Queued, p, func(q PriorityWork, p routing.Priority) int {
		return int(q.Priority) - int(p)
	})
	if !found {
		l.Queued = slices.Insert(l.Queued, i, PriorityWork{
			Priority: p,
		})
	}
	l.Queued[i].Requests = increment(l.Queued[i].Requests)
	l.Queued[i].Work += work
}

// increment adds one, and does not overflow with a false report.
func increment(n uint32) uint32 {
	if n == math.MaxUint32 {
		return n
	}
	return n + 1
}
