package host

import "github.com/lentilshed/lentilshed/flow"

// LogEvent is one line for the log: a decision or a change of what the process
// believes.
type LogEvent struct {
	Event  string
	Flow   flow.Tuple
	Member string
	Count  int
	// Version is the configuration that a decision was made under; zero is none.
	Version uint64
	Err     error
}
