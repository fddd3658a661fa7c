package cost

import (
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

// Load is the work that a backend server still has to do, as its agent reports it. All times
// are those of this backend server, so a slow one has more work with the same requests.
type Load struct {
	// Running is the number of requests that the backend server works on, and Rest the
	// expected time until the end of each, summed up.
	Running uint32
	Rest    time.Duration
	// Queued has the waiting requests by priority, the most urgent first.
	Queued []PriorityWork
	// Routes has the costs of the busiest routes at this backend server.
	Routes []RouteCost
}

// PriorityWork is the expected work of the waiting requests of one priority.
type PriorityWork struct {
	Priority routing.Priority
	Work     time.Duration
	Requests uint32
}

// RouteCost is the distribution of the work of one route's requests.
type RouteCost struct {
	Route routing.Address
	Mean  time.Duration
	P50   time.Duration
	P90   time.Duration
	P99   time.Duration
	// Samples is the decayed number of requests that the distribution is based on.
	Samples uint32
	// RequestsPerFlow is the mean number of requests of one flow; zero is unknown.
	RequestsPerFlow float64
	// ResponseBytes is the mean payload of a response that is not failed, in bytes; zero is
	// unknown.
	ResponseBytes uint32
}
