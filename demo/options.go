package demo

import (
	"io"
	"time"
)

// Scenario is what a run plays.
type Scenario string

const (
	// ScenarioShift is a shift change with planned changes and a crash.
	ScenarioShift Scenario = "shift"
	// ScenarioSteady is short flows at 70% of what all targets bear, without
	// changes: speeds are unknown at first, and load must even out.
	ScenarioSteady Scenario = "steady"
)

// Options say what a run plays.
type Options struct {
	Scenario Scenario
	Length   time.Duration
	Seed     uint64
	// Faults turns on loss, duplication, reordering, balancer kills, a slow
	// platform and lost answers.
	Faults bool
	// MaxCapacity is what the fastest target bears.
	MaxCapacity int
	// Flows is the number of live flows over all services.
	Flows int
	// Progress takes a line now and then; nil shows nothing.
	Progress io.Writer
	// Log takes the instances' logs; nil drops them.
	Log io.Writer
}

const (
	coldShare   = 0.1
	warmup      = 4 * time.Second
	answerTime  = time.Millisecond
	reportLag   = 400 * time.Millisecond
	linePause   = 700 * time.Millisecond
	stepWait    = 10 * time.Second
	settleWait  = 20 * time.Second
	pollPeriod  = 5 * time.Millisecond
	samplePause = 100 * time.Millisecond
	steadyUse   = 0.7
)
