package holder

import (
	"math"
	"time"
)

// load measures the requests that a backend server has in work, from the packets
// that pass.
type load struct {
	inFlight int
	// busySince is when the backend server last went from idle to working.
	busySince    time.Time
	updatedAt    time.Time
	meanInFlight float64
	latency      time.Duration
}

const (
	// fullRequestsPerSlot is the number of requests in work a slot from which on a target
	// takes no new flows: two wait for each one that is worked on.
	fullRequestsPerSlot = 3
	// meanWindow is the memory of the mean load; a burst shows within a second.
	meanWindow = 700 * time.Millisecond
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.1
)

func (l *load) begin(now time.Time) {
	l.advance(now)
	if l.inFlight == 0 {
		l.busySince = now
	}
	l.inFlight++
}

func (l *load) end(now time.Time, d time.Duration) {
	l.advance(now)
	l.inFlight--
	if l.latency == 0 {
		l.latency = d
	}
	l.latency += time.Duration(latencyWeight * float64(d-l.latency))
}

// abandon takes a request back that will not be answered.
func (l *load) abandon() {
	l.inFlight--
}

// full reports whether a new flow would wait for so long that another target
// serves it sooner.
func (l *load) full(slots uint32) bool {
	return slots > 0 && l.inFlight >= fullRequestsPerSlot*int(slots)
}

func (l *load) requestsPending() bool {
	return l.inFlight > 0
}

func (l *load) tick(now time.Time) {
	l.advance(now)
}

// advance moves the mean towards the present number of requests in work.
func (l *load) advance(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
		return
	}
	d := now.Sub(l.updatedAt)
	if d <= 0 {
		return
	}
	keep := math.Exp(-float64(d) / float64(meanWindow))
	l.meanInFlight = l.meanInFlight*keep + float64(l.inFlight)*(1-keep)
	l.updatedAt = now
}
