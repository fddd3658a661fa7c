// Package usage runs the command lines of the programs and distinguishes wrong usage from a failure
// at run time. Scripts see the difference in the exit status.
package usage

import (
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/spf13/cobra"
)

// ErrWrong marks errors of command lines that cannot be executed as they are.
var ErrWrong = errors.New("wrong usage")

// Execute runs a command with its arguments. An error before the command starts, such as
// an unknown flag, an unknown command or a missing argument, matches ErrWrong.
func Execute(c *cobra.Command) error {
	started := false
	recordStart(c, &started)
	err := c.Execute()
	if !started {
		err = failure.Mark(err, ErrWrong)
	}
	return err
}

// recordStart sets started as soon as cobra has accepted a command line of c or of one of
// its commands.
func recordStart(c *cobra.Command, started *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			*started = true
			return run(c, args)
		}
	}
	for _, x := range c.Commands() {
		recordStart(x, started)
	}
}
