package holder

import "time"

// Stats counts what an agent did since its start.
type Stats struct {
	Opened          uint64
	Rebuilt         uint64
	Offered         uint64
	Returned        uint64
	ToBackend       uint64
	ToCaller        uint64
	Forged          uint64
	Evicted         uint64
	Reset           uint64
	Probes          uint64
	StaleHeartbeats uint64
	Rejected        [RejectOtherService + 1]uint64
	// Responses counts the answers of the backend server by their latency: those
	// within each of LatencyBounds, and all others at the end.
	Responses [latencyBounds + 1]uint64
	Open      int
}

const latencyBounds = 10

// LatencyBounds are the upper ends of the buckets of Stats.Answers.
var LatencyBounds = [latencyBounds]time.Duration{
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
}

func (s *Stats) answered(d time.Duration) {
	for i, b := range LatencyBounds {
		if d <= b {
			s.Responses[i]++
			return
		}
	}
	s.Responses[latencyBounds]++
}
