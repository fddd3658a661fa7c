package fabric

import (
	"container/heap"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults that a link applies to packets. Shares are between 0 and 1.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Reorder is the share of packets that are delayed by 2 ms more, so that later
	// packets overtake them.
	Reorder float64
}

const reorderDelay = 2 * time.Millisecond

// Link is an emulated network link: it delays packets and applies faults to them.
// It is safe for concurrent use.
type Link struct {
	mu        sync.Mutex
	queue     packetQueue
	lastOrder uint64
	faults    Faults
	rand      *rand.Rand
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
}

// NewLink returns a running link. The seed determines which packets its faults
// affect.
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

// Send calls deliver with a copy of b after the delay. Depending on the faults it
// does so later, twice or not at all.
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

// Close stops the link and drops the packets that have not been delivered yet.
func (l *Link) Close() {
	close(l.stop)
	<-l.done
}

func (l *Link) push(b []byte, delay time.Duration, deliver func([]byte)) {
	l.lastOrder++
	heap.Push(&l.queue, queuedPacket{
		at:      time.Now().Add(delay),
		order:   l.lastOrder,
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

// flush delivers the packets that are due and returns the time until the next one.
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
		p, _ := heap.Pop(&l.queue).(queuedPacket)
		l.mu.Unlock()
		p.deliver(p.data)
	}
}

// queuedPacket is a packet that has not been delivered yet.
type queuedPacket struct {
	at      time.Time
	order   uint64
	data    []byte
	deliver func([]byte)
}

// packetQueue is a heap of packets, ordered by delivery time.
type packetQueue []queuedPacket

func (q packetQueue) Len() int { return len(q) }

func (q packetQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *packetQueue) Push(x any) {
	p, _ := x.(queuedPacket)
	*q = append(*q, p)
}

func (q *packetQueue) Pop() any {
	o := *q
	n := len(o) - 1
	p := o[n]
	o[n] = queuedPacket{}
	*q = o[:n]
	return p
}
