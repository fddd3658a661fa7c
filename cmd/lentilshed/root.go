package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/cmd/internal/usage"
	"github.com/lentilshed/lentilshed/demo"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/spf13/cobra"
)

const (
	exitOK = 0
	// exitFailed also stands for a demo in which an invariant was violated.
	exitFailed = 1
	// exitUsage stands for wrong usage and invalid settings: the same command fails again.
	exitUsage = 2
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
	err := usage.Execute(c)
	if err != nil && !errors.Is(err, demo.ErrInvariantViolated) {
		_, _ = fmt.Fprintln(errOut, err)
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, usage.ErrWrong), errors.Is(err, settings.ErrInvalid):
		return exitUsage
	}
	return exitFailed
}
