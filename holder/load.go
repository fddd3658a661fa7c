package holder

import (
	"math"
	"time"
)

// load counts the requests in flight at a backend server, from the packets that pass. A
// request begins with payload of the caller while the flow has none in flight, and ends
// with the next payload that the backend server sends in the flow, at the end of the
// flow, or after requestTimeout.
type load struct {
	inFlight int
	// busySince is when the backend server last got a request while it was idle.
	busySince time.Time
	// updatedAt is when meanInFlight was last updated.
	updatedAt time.Time
	// meanInFlight is the exponentially weighted mean of inFlight over meanWindow.
	meanInFlight float64
	// latency is the exponentially weighted mean time from request to response.
	latency time.Duration
	// flowBytes is the exponentially weighted mean payload that the backend server sent in
	// a flow, in bytes.
	flowBytes float64
}

const (
	// fullRequestsPerSlot is the number of requests in flight a slot from which on a
	// target takes no new flows: two requests wait for each one that is processed.
	fullRequestsPerSlot = 3
	// meanWindow is the time constant of the mean load; a burst shows within a second.
	meanWindow = 700 * time.Millisecond
	// flowWeight is the weight of one flow in the mean payload of a flow.
	flowWeight = 0.1
	// latencyWeight is the weight of one response in the mean latency.
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

// flowEnded adds the payload of a flow to the mean.
func (l *load) flowEnded(e *entry) {
	if e.state == entryEnded || e.bytes == 0 {
		return
	}
	if l.flowBytes == 0 {
		l.flowBytes = float64(e.bytes)
	}
	l.flowBytes += flowWeight * (float64(e.bytes) - l.flowBytes)
}

// abandon removes a request that will not be answered.
func (l *load) abandon() {
	l.inFlight--
}

// full reports whether so many requests wait that another target would serve a new
// flow sooner. It is false while the slots are not known, that is zero.
func (l *load) full(slots uint32) bool {
	return slots > 0 && l.inFlight >= fullRequestsPerSlot*int(slots)
}

func (l *load) requestsPending() bool {
	return l.inFlight > 0
}

func (l *load) tick(now time.Time) {
	l.advance(now)
}

// advance moves the mean towards the present number of requests in flight.
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
