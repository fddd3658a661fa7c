package demo

import (
	"io"
	"time"
)

// Scenario names the sequence of events of a run.
type Scenario string

const (
	// ScenarioShift is a shift change with planned changes and a crash.
	ScenarioShift Scenario = "shift"
	// ScenarioSteady is short flows at 70% of the capacity of all targets,
	// without changes. The targets' speeds are unknown to the system at first,
	// and the load must become even.
	ScenarioSteady Scenario = "steady"
)

// Options configures a run.
type Options struct {
	Scenario Scenario
	Length   time.Duration
	Seed     uint64
	// Faults turns on packet loss, duplication and reordering, and a platform
	// that is slow, loses answers, breaks watches and throttles.
	Faults bool
	// MaxCapacity is the capacity of the fastest target, in flows.
	MaxCapacity int
	// Flows is the number of live flows of all services together.
	Flows int
	// Progress receives a line for each step and result; nil discards them.
	Progress io.Writer
	// Log receives the instances' logs; nil discards them.
	Log io.Writer
}

const (
	coldShare         = 0.1
	warmup            = 4 * time.Second
	answerLatency     = time.Millisecond
	reportLag         = 400 * time.Millisecond
	lineInterval      = 700 * time.Millisecond
	changeTimeout     = 10 * time.Second
	settleTimeout     = 20 * time.Second
	pollInterval      = 5 * time.Millisecond
	sampleInterval    = 100 * time.Millisecond
	steadyUtilisation = 0.7
)
