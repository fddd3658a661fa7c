package holder

import (
	"container/heap"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
)

// running has the requests that were passed to the backend server and have no response, as far
// as they count against its slots. It answers lost responses: a request without one would keep a slot from the waiting
// requests until requestTimeout.
type running struct {
	// list is a heap by when the requests become overdue.
	list overdueHeap
	// overdue is the number of requests that have become overdue and still run.
	overdue int
}

// overdueAfter returns the time after which a running request of a route no longer counts
// against the slots.
func (m *Model) overdueAfter(route routing.Address) time.Duration {
	if m.config.OverdueAfter != nil {
		return m.config.OverdueAfter(route)
	}
	return m.serviceTimes.table.LostAfter(route)
}

// slotUsed counts a request that was passed to the backend server against the slots.
func (m *Model) slotUsed(now time.Time, t flow.Tuple, e *entry) {
	e.overdueAt = now.Add(m.overdueAfter(routing.AddressOf(t)))
	heap.Push(&m.schedule.running.list, e)
}

// slotFreed ends the count of a request against the slots, if it has not ended yet.
func (m *Model) slotFreed(e *entry) {
	r := &m.schedule.running
	switch {
	case e.overdue:
		e.overdue = false
		r.overdue--
	case e.usesSlot:
		heap.Remove(&r.list, e.heapIndex)
	}
}

// updateOverdue marks the requests that have become overdue, and returns the number of overdue
// ones that still run.
func (r *running) updateOverdue(now time.Time) int {
	for len(r.list) > 0 && now.After(r.list[0].overdueAt) {
		heap.Pop(&r.list).(*entry).overdue = true
		r.overdue++
	}
	return r.overdue
}

// overdueHeap is a heap of flows by overdueAt. It implements heap.Interface.
type overdueHeap []*entry

// Len implements sort.Interface.
func (h *overdueHeap) Len() int {
	return len(*h)
}

// Less implements sort.Interface.
func (h *overdueHeap) Less(i, j int) bool {
	return (*h)[i].overdueAt.Before((*h)[j].overdueAt)
}

// Swap implements sort.Interface.
func (h *overdueHeap) Swap(i, j int) {
	l := *h
	l[i], l[j] = l[j], l[i]
	l[i].heapIndex = i
	l[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *overdueHeap) Push(x any) {
	e := x.(*entry)
	e.usesSlot = true
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *overdueHeap) Pop() any {
	l := *h
	n := len(l) - 1
	e := l[n]
	l[n] = nil
	*h = l[:n]
	e.usesSlot = false
	return e
}
