package usersbackend

import (
	"math/rand/v2"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

const (
	// maxWaiting is the number of requests that wait for a slot; further ones are shed.
	maxWaiting = 12
	// responseLength is the size of a response of a server with limited slots, and
	// errorLength that of an error, in bytes.
	responseLength = 1000
	errorLength    = 150
)

// Failure is how a server with limited slots fails a request.
type Failure uint8

// The failures: FailShort sends a short error at once, FailReset resets the flow, and FailSilent
// sends nothing.
const (
	FailShort Failure = iota + 1
	FailReset
	FailSilent
)

// Failures lists all failures.
var Failures = []Failure{FailShort, FailReset, FailSilent}

// String returns the failure in words.
func (f Failure) String() string {
	return [...]string{"none", "short error", "reset", "silence"}[f]
}

// work has the requests of a server with limited slots.
type work struct {
	// exchanges has the latest request of each open flow.
	exchanges map[flow.Tuple]*exchange
	running   int
	waiting   []*exchange
	// freeSince is when a slot last became free while none was.
	freeSince time.Time
	failure   Failure
	failShare float64
}

// exchange is a request and its response.
type exchange struct {
	// request has the latest request, and response the latest response.
	request, response segment.Segment
	pending           bool
}

// Fail makes the server fail a share of its requests. A share of zero ends it.
func (s *Server) Fail(f Failure, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.failure = f
	s.work.failShare = share
}

// FreeFor returns the time for which the server has had a free slot, zero if it has none.
func (s *Server) FreeFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work.running >= s.config.Slots {
		return 0
	}
	return time.Since(s.work.freeSince)
}

// request starts, queues, fails or sheds a request. One that is repeated gets the same response
// again.
func (s *Server) request(p segment.Segment, initial uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.work
	x := w.exchanges[p.Tuple]
	if x == nil {
		x = &exchange{
			response: segment.Segment{
				Sequence: initial + 1,
			},
		}
		w.exchanges[p.Tuple] = x
	}
	if x.request.Length > 0 && int32(p.Sequence-x.request.Sequence) <= 0 {
		if !x.pending && p.Sequence == x.request.Sequence {
			s.send(Encode(x.response, true))
		}
		return
	}
	failure := Failure(0)
	if rand.Float64() < w.failShare {
		failure = w.failure
	}
	if failure == FailSilent {
		return
	}
	x.request = p
	x.pending = true
	switch {
	case failure == FailReset:
		delete(s.open, p.Tuple)
		delete(w.exchanges, p.Tuple)
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Rst,
			Sequence: p.Ack,
		}, true))
	case failure == FailShort, w.running >= s.config.Slots && len(w.waiting) >= maxWaiting:
		s.respond(x, errorLength)
	case w.running >= s.config.Slots:
		w.waiting = append(w.waiting, x)
	default:
		w.running++
		s.process(x)
	}
}

// process responds to a request after its duration, and starts the next one. The lock must be
// held.
func (s *Server) process(x *exchange) {
	time.AfterFunc(s.config.RequestDuration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		w := &s.work
		s.respond(x, responseLength)
		for len(w.waiting) > 0 {
			next := w.waiting[0]
			w.waiting = w.waiting[1:]
			if w.exchanges[next.request.Tuple] == next {
				s.process(next)
				return
			}
		}
		if w.running == s.config.Slots {
			w.freeSince = time.Now()
		}
		w.running--
	})
}

// respond sends the response to the latest request of a flow, unless the flow has ended. The
// lock must be held.
func (s *Server) respond(x *exchange, length uint16) {
	if s.work.exchanges[x.request.Tuple] != x {
		return
	}
	x.pending = false
	x.response = segment.Segment{
		Tuple:    x.request.Tuple,
		Flags:    segment.Ack,
		Sequence: x.response.Sequence + uint32(x.response.Length),
		Ack:      x.request.Sequence + uint32(x.request.Length),
		Length:   length,
	}
	s.send(Encode(x.response, true))
}

// ErrorResponse reports whether a packet is the error of a server with limited slots.
func ErrorResponse(p segment.Segment) bool {
	return p.Length == errorLength
}
