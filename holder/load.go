package holder

import (
	"math"
	"time"
)

// load measures the requests that a backend server has in work, from the packets
// that pass.
type load struct {
	working int
	// since is when the backend server last went from idle to working.
	since   time.Time
	at      time.Time
	busy    float64
	latency time.Duration
}

const (
	// fullPart is the number of requests in work a slot from which on a target
	// takes no new flows: two wait for each one that is worked on.
	fullPart = 3
	// busyWindow is the memory of the mean load; a burst shows within a second.
	busyWindow = 700 * time.Millisecond
	// latencyShare is the weight of one answer in the mean latency.
	latencyShare = 0.1
)

func (l *load) begin(now time.Time) {
	l.advance(now)
	if l.working == 0 {
		l.since = now
	}
	l.working++
}

func (l *load) end(now time.Time, d time.Duration) {
	l.advance(now)
	l.working--
	if l.latency == 0 {
		l.latency = d
	}
	l.latency += time.Duration(latencyShare * float64(d-l.latency))
}

// abandon takes a request back that will not be answered.
func (l *load) abandon() {
	l.working--
}

// full reports whether a new flow would wait for so long that another target
// serves it sooner.
func (l *load) full(slots uint32) bool {
	return slots > 0 && l.working >= fullPart*int(slots)
}

func (l *load) waiting() bool {
	return l.working > 0
}

func (l *load) tick(now time.Time) {
	l.advance(now)
}

// advance moves the mean towards the present number of requests in work.
func (l *load) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
		return
	}
	d := now.Sub(l.at)
	if d <= 0 {
		return
	}
	keep := math.Exp(-float64(d) / float64(busyWindow))
	l.busy = l.busy*keep + float64(l.working)*(1-keep)
	l.at = now
}
