package host

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// LogEvent is one log line: a decision, a change of state or a failure.
type LogEvent struct {
	// Event is the text of the line.
	Event string
	Flow  flow.Tuple
	// Name is the name of the process or object that the line is about.
	Name string
	// Count is the number of flows or agents concerned, or the version of a
	// configuration.
	Count int
	// Version is the version of the configuration in force at a decision; zero means
	// none.
	Version uint64
	// Age is the time since the state that the line is about was confirmed; zero means none.
	Age time.Duration
	Err error
}
