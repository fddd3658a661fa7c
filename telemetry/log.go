// Package telemetry sets up logs, metrics and traces of a process.
package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// NewLogger returns a logger whose lines have a fixed value of the key "part".
// Levels are "debug", "info", "warn" and "error"; empty means "info".
func NewLogger(w io.Writer, part, level string) *log.Logger {
	l := log.InfoLevel
	if level != "" {
		l = log.ParseLevel(level)
	}
	return &log.Logger{
		Level:   l,
		Context: log.NewContext(nil).Str("part", part).Value(),
		Writer: &log.IOWriter{
			Writer: w,
		},
	}
}
