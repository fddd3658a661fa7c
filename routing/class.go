package routing

import "time"

// Priority orders requests by urgency; 0 is the most urgent.
type Priority uint8

// DefaultPriority is the priority of routes that declare none.
const DefaultPriority Priority = 2

// Class is what a configuration says about the requests of a route. It decides which
// requests wait while backend servers have more to do than they can handle.
type Class struct {
	Priority Priority
	// Objective is the time from a request within which its response has its full value;
	// zero is none.
	Objective time.Duration
	// Timeout is the time after which the caller no longer waits for the response; zero is
	// none.
	Timeout time.Duration
}
