package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/cmd/internal/usage"
	"github.com/lentilshed/lentilshed/configcheck"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/operator"
	"github.com/lentilshed/lentilshed/platform"
	"github.com/lentilshed/lentilshed/query"
	"github.com/spf13/cobra"
)

// configCheck is one check of a configuration.
type configCheck struct {
	command *command
	against string
	strict  bool
	slots   int
	work    time.Duration
}

func (c *command) checkConfigCommand() *cobra.Command {
	x := &configCheck{
		command: c,
	}
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check an operators' configuration, and show how it differs from another one",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return x.run(args[0])
		},
	}
	f := cmd.Flags()
	f.StringVar(&x.against, "against", "", "configuration in force, to compare with")
	f.BoolVar(&x.strict, "strict", false, "fail if there are warnings")
	f.IntVar(&x.slots, "slots", 0, "requests that a backend server processes at once, to check cold rates; needs --work")
	f.DurationVar(&x.work, "work", 0, "expected time of one request, such as 34ms; needs --slots")
	cmd.MarkFlagsRequiredTogether("slots", "work")
	return cmd
}

// run prints the findings and the difference. It returns an error if there are errors, or if
// there are warnings and they count.
func (x *configCheck) run(path string) error {
	if x.slots < 0 || x.work < 0 {
		return failure.Mark(errors.New("--slots and --work: must not be negative"), usage.ErrWrong)
	}
	if x.command.output != string(operator.OutputText) {
		return failure.Mark(errors.New("--output: check-config prints text only"), usage.ErrWrong)
	}
	current, findings, err := parseConfig(path)
	if err != nil {
		return err
	}
	if current != nil {
		findings = append(findings, configcheck.Check(current, configcheck.Options{
			Slots:   x.slots,
			Work:    x.work,
			Nearest: query.Nearest,
		})...)
	}
	var old *configcheck.Config
	var oldFindings configcheck.Findings
	if x.against != "" {
		if old, oldFindings, err = parseConfig(x.against); err != nil {
			return err
		}
	}
	if old != nil && current != nil {
		findings = append(findings, configcheck.CheckVersion(old, current)...)
	}
	x.printFindings(path, findings)
	x.printFindings(x.against, oldFindings)
	if old != nil && current != nil {
		for _, l := range configcheck.Diff(old, current) {
			_, _ = fmt.Fprintln(x.command.out, l)
		}
	}
	err = append(findings, oldFindings...).Err()
	if errors.Is(err, configcheck.ErrWarnings) && !x.strict {
		return nil
	}
	return err
}

// parseConfig reads and parses a configuration, which is nil if the file is not JSON.
func parseConfig(path string) (*configcheck.Config, configcheck.Findings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, failure.Mark(errors.Wrap(err, "read configuration"), usage.ErrWrong)
	}
	c, l := platform.ParseConfig(b)
	return c, l, nil
}

func (x *configCheck) printFindings(path string, l configcheck.Findings) {
	l.Sort()
	for _, f := range l {
		_, _ = fmt.Fprintf(x.command.out, "%s:%s\n", path, f)
	}
}
