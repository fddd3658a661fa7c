package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/demo"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/spf13/cobra"
)

const (
	exitOK       = 0
	exitViolated = 1
	exitUsage    = 2
)

// run executes one command line and returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	c := &cobra.Command{
		Use:           "lentilshed",
		Short:         "A layer-4 load balancer that keeps live flows through planned change",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errOut)
	c.AddCommand(
		newServeCommand(roleBalancer, errOut),
		newServeCommand(roleAgent, errOut),
		newCheckCommand(out),
		newDemoCommand(out, errOut),
		newMeasureCommand(out),
		newPassthroughCommand(out),
	)
	err := c.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, demo.ErrInvariantViolated):
		return exitViolated
	}
	_, _ = fmt.Fprintln(errOut, err)
	if errors.Is(err, settings.ErrInvalid) {
		return exitUsage
	}
	return exitUsage
}
