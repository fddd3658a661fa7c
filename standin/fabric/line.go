package fabric

import (
	"container/heap"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are what a network does to packets. Shares are between 0 and 1.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Reorder is the share of packets that take ReorderDelay longer.
	Reorder float64
}

const reorderDelay = 2 * time.Millisecond

// Link delays packets and applies faults to them. It is safe for concurrent
// use.
type Link struct {
	mu     sync.Mutex
	queue  lineQueue
	next   uint64
	faults Faults
	rand   *rand.Rand
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
}

// NewLink returns a running line.
func NewLink(seed uint64) *Link {
	l := &Link{
		rand: rand.New(rand.NewPCG(seed, 3)),
		wake: make(chan struct{}, 1),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go l.run()
	return l
}

// SetFaults replaces the faults in force.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Send calls deliver with a copy of b after the delay, or not at all, or twice.
func (l *Link) Send(b []byte, delay time.Duration, deliver func([]byte)) {
	l.mu.Lock()
	f := l.faults
	if l.rand.Float64() < f.Loss {
		l.mu.Unlock()
		return
	}
	if l.rand.Float64() < f.Reorder {
		delay += reorderDelay
	}
	c := append([]byte(nil), b...)
	l.push(c, delay, deliver)
	if l.rand.Float64() < f.Duplicate {
		l.push(c, delay+reorderDelay/4, deliver)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close drops what is under way.
func (l *Link) Close() {
	close(l.stop)
	<-l.done
}

func (l *Link) push(b []byte, delay time.Duration, deliver func([]byte)) {
	l.next++
	heap.Push(&l.queue, lineItem{
		at:      time.Now().Add(delay),
		order:   l.next,
		data:    b,
		deliver: deliver,
	})
}

func (l *Link) run() {
	defer close(l.done)
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(l.flush())
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-t.C:
		}
	}
}

// flush delivers what is due and returns the time until the next packet.
func (l *Link) flush() time.Duration {
	for {
		l.mu.Lock()
		if len(l.queue) == 0 {
			l.mu.Unlock()
			return time.Hour
		}
		if d := time.Until(l.queue[0].at); d > 0 {
			l.mu.Unlock()
			return d
		}
		i, _ := heap.Pop(&l.queue).(lineItem)
		l.mu.Unlock()
		i.deliver(i.data)
	}
}

// lineItem is one packet under way.
type lineItem struct {
	at      time.Time
	order   uint64
	data    []byte
	deliver func([]byte)
}

// lineQueue orders packets by delivery time.
type lineQueue []lineItem

func (q lineQueue) Len() int { return len(q) }

func (q lineQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q lineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *lineQueue) Push(x any) {
	i, _ := x.(lineItem)
	*q = append(*q, i)
}

func (q *lineQueue) Pop() any {
	o := *q
	n := len(o) - 1
	i := o[n]
	o[n] = lineItem{}
	*q = o[:n]
	return i
}
