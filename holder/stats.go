package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

// Stats counts the events at an agent since its start.
type Stats struct {
	// Opened counts the flows whose SYN went to the backend server, also those whose
	// handshake was never completed.
	Opened uint64
	// Rebuilt counts the flows that were added to the table because the backend
	// server sent a packet of them.
	Rebuilt uint64
	// Hinted counts the flows that were added to the table because a balancer knew them
	// from an earlier process of the agent.
	Hinted uint64
	// Offered counts the flows that were not in the table when a packet of them was sent
	// to the backend server, which returns it if it does not hold the flow.
	Offered uint64
	// Returned counts the packets of flows in the table that the backend server returned
	// to the agent.
	Returned  uint64
	ToBackend uint64
	ToCaller  uint64
	// Forged counts callers' packets that only a backend server can send.
	Forged uint64
	// Evicted counts the flows removed from a full table.
	Evicted         uint64
	Reset           uint64
	Probes          uint64
	StaleHeartbeats uint64
	// Rejected counts the packets returned to balancers, by RejectReason.
	Rejected [RejectBusy + 1]uint64
	// Deferred and RefusedByLevel count the new flows that were deferred, and that were returned as
	// full or cold, by the level of their priority. They count only if load-aware.
	Deferred       [placement.PriorityLevels]uint64
	RefusedByLevel [placement.PriorityLevels]uint64
	// Responses counts the responses of the backend server by their latency: each once,
	// at the lowest of LatencyBounds that it is within, or at the end if it is above all.
	Responses [latencyBounds + 1]uint64
	// Queue counts the requests that waited, by priority; the last has those of all
	// priorities from its number on.
	Queue [queueClasses]QueueStats
	// FailedResponses counts the requests that failed at the backend server, by
	// outlier.Failure, and FailureShare is the share of recent requests that did. Both are zero
	// unless Config.LoadAware is set.
	FailedResponses [outlier.Failures]uint64
	FailureShare    float64
	// Open is the number of flows in the table, in any state.
	Open int
}

// queueClasses is the number of priorities that Stats.Queue counts separately.
const queueClasses = 8

// QueueStats counts the requests of one priority in the queue.
type QueueStats struct {
	// Waiting is the number of requests that wait now.
	Waiting int
	// Waits counts the requests that were started after a wait: each once, at the lowest of
	// LatencyBounds that its wait is within, or at the end if it is above all.
	Waits [latencyBounds + 1]uint64
	// Full counts the requests that went to the backend server directly because the queue
	// was full.
	Full uint64
	// Expired counts the requests that were dropped after their timeout.
	Expired uint64
}

// queueClass returns the index of a priority in Stats.Queue.
func queueClass(p routing.Priority) int {
	return min(int(p), queueClasses-1)
}

const latencyBounds = 10

// LatencyBounds are the upper bounds of the buckets of Stats.Responses.
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

func (s *Stats) countResponse(d time.Duration) {
	s.Responses[latencyBucket(d)]++
}

// latencyBucket returns the index of the lowest of LatencyBounds that d is within.
func latencyBucket(d time.Duration) int {
	for i, b := range LatencyBounds {
		if d <= b {
			return i
		}
	}
	return latencyBounds
}
