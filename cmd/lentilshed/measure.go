package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/measure"
	"github.com/spf13/cobra"
)

func newMeasureCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure how memory, processor time and messages grow with the size of a region",
	}
	c.AddCommand(newMeasureTables(out), newMeasureControl(out), newMeasureRaces(out))
	return c
}

func newMeasureTables(out io.Writer) *cobra.Command {
	var targetCounts []int
	c := &cobra.Command{
		Use:   "tables",
		Short: "Measure the size and update time of one balancer's tables for each number of targets",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range targetCounts {
				t, err := measure.RunTables(n)
				if err != nil {
					return err
				}
				if err := writeJSONLine(out, t); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&targetCounts, "targets", []int{11, 1_000, 19_000, 150_000}, "numbers of targets to measure with")
	return c
}

func newMeasureControl(out io.Writer) *cobra.Command {
	var balancerCounts []int
	var config measure.ControlConfig
	c := &cobra.Command{
		Use:   "control",
		Short: "Measure the control traffic of one balancer for each number of balancers",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range balancerCounts {
				config.Balancers = n
				r, err := measure.RunControl(config)
				if err != nil {
					return err
				}
				if err := writeJSONLine(out, r); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&balancerCounts, "balancers", []int{25, 50, 100, 200}, "numbers of balancers to measure with")
	c.Flags().IntVar(&config.AgentsPerBalancer, "agents", 10, "number of agents that send heartbeats to each balancer")
	c.Flags().DurationVar(&config.Idle, "idle", 10*time.Second, "time for which traffic is measured without configuration changes")
	c.Flags().IntVar(&config.Changes, "changes", 100, "number of configuration changes to measure after the idle time")
	return c
}

func newMeasureRaces(out io.Writer) *cobra.Command {
	var config measure.RacesConfig
	c := &cobra.Command{
		Use:   "races",
		Short: "Let simulated operators change the same region at the same time and check the outcome of each change",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := measure.RunRaces(config)
			if err != nil {
				return err
			}
			return writeJSONLine(out, r)
		},
	}
	c.Flags().IntVar(&config.Balancers, "balancers", 12, "number of balancers")
	c.Flags().IntVar(&config.Operators, "operators", 6, "number of operators")
	c.Flags().DurationVar(&config.Length, "length", 30*time.Second, "length of the run")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the random numbers for changes and faults")
	c.Flags().BoolVar(&config.Faults, "faults", false, "add outages and lost responses of the platform, and restarts of balancers")
	return c
}

// writeJSONLine writes a value as one line of JSON.
func writeJSONLine(out io.Writer, x any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(x), "write result")
}
