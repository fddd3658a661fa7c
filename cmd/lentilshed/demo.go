package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/cmd/internal/usage"
	"github.com/lentilshed/lentilshed/demo"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/spf13/cobra"
)

type demoFlags struct {
	seconds     float64
	seed        uint64
	faults      bool
	json        bool
	logs        bool
	connections int
	flows       int
	scenario    string
}

func newDemoCommand(out, errOut io.Writer) *cobra.Command {
	var f demoFlags
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system in one process, with simulated callers and backend servers, and check its guarantees",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runDemo(f, out, errOut)
		},
	}
	c.Flags().Float64Var(&f.seconds, "seconds", 30, "length of the run")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random numbers for load, network and faults")
	c.Flags().BoolVar(&f.faults, "faults", false, "add packet loss, duplication and reordering, and faults of the platform")
	c.Flags().BoolVar(&f.json, "json", false, "print the report as one JSON object")
	c.Flags().BoolVar(&f.logs, "logs", false, "show the instances' logs")
	c.Flags().IntVar(&f.connections, "connections", 2000, "flows that the fastest target can handle")
	c.Flags().IntVar(&f.flows, "flows", 3000, "live flows over all services")
	c.Flags().StringVar(&f.scenario, "scenario", string(demo.ScenarioShift), "shift (planned changes and a crash) or steady (short flows, no changes)")
	return c
}

func runDemo(f demoFlags, out, errOut io.Writer) error {
	if f.seconds < 10 {
		return failure.Mark(errors.New("--seconds: must be at least 10"), usage.ErrWrong)
	}
	if f.connections < 10 || f.flows < 1 {
		return failure.Mark(errors.New("--connections: must be at least 10, and --flows at least 1"), usage.ErrWrong)
	}
	if f.scenario != string(demo.ScenarioShift) && f.scenario != string(demo.ScenarioSteady) {
		return failure.Mark(errors.Newf("--scenario: %q is neither shift nor steady", f.scenario), usage.ErrWrong)
	}
	o := demo.Options{
		Scenario:    demo.Scenario(f.scenario),
		Length:      time.Duration(f.seconds * float64(time.Second)),
		Seed:        f.seed,
		Faults:      f.faults,
		MaxCapacity: f.connections,
		Flows:       f.flows,
		Progress:    errOut,
	}
	if f.logs {
		o.Log = errOut
	}
	r, err := demo.RunScenario(o)
	if r == nil {
		return errors.Wrap(err, "demo")
	}
	if f.json {
		if e := json.NewEncoder(out).Encode(r); e != nil {
			return errors.Wrap(e, "write report")
		}
		return err
	}
	r.Write(out)
	return err
}
