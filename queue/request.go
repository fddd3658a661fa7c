package queue

import (
	"iter"
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// Arrival is what is known about a request when it comes.
type Arrival struct {
	Flow     flow.Tuple
	Priority routing.Priority
	// Deadline is when the response should begin.
	Deadline time.Time
	// GiveUpAt is when the caller no longer waits.
	GiveUpAt time.Time
	// StartBy is when the request has to start although the backend server takes no more; zero is never.
	StartBy time.Time
	// Work is the expected time that the backend server needs for the request.
	Work time.Duration
}

// Request is a request that waits.
type Request struct {
	Arrival
	ArrivedAt time.Time
	first     *node
	last      *node
	// times are what the heaps are ordered by, and places the positions in them.
	times    [2]time.Time
	places   [2]int
	sequence uint64
	// late is set once the request can no longer meet its deadline.
	late bool
	// older and newer are the neighbours in order of arrival within the priority.
	older *Request
	newer *Request
}

// leaveAt returns when the request has to leave the queue.
func (r *Request) leaveAt() time.Time {
	if !r.StartBy.IsZero() && r.StartBy.Before(r.GiveUpAt) {
		return r.StartBy
	}
	return r.GiveUpAt
}

// GivenUp reports whether the caller no longer waits.
func (r *Request) GivenUp(now time.Time) bool {
	return !now.Before(r.GiveUpAt)
}

// Packets iterates over the packets in the order in which they are sent. Their data is valid
// until the first call of Queue.Recycle after the request was removed.
func (r *Request) Packets() iter.Seq[Packet] {
	return func(yield func(Packet) bool) {
		for n := r.first; n != nil; n = n.next {
			if !yield(n.Packet) {
				return
			}
		}
	}
}

// Packet is a packet of a waiting request, with payload or FIN.
type Packet struct {
	// From is the balancer that sent the packet.
	From    netip.AddrPort
	Segment segment.Segment
	Data    []byte
}

// end returns the sequence number after the packet; FIN takes one.
func (p Packet) end() uint32 {
	e := p.Segment.Sequence + uint32(p.Segment.Length)
	if p.Segment.Has(segment.Fin) {
		e++
	}
	return e
}

// covers reports whether the packet has all sequence numbers of another one.
func (p Packet) covers(x Packet) bool {
	return !segment.Before(x.Segment.Sequence, p.Segment.Sequence) && !segment.Before(p.end(), x.end())
}

// node is a packet in the list of a request's packets.
type node struct {
	Packet
	next *node
}
