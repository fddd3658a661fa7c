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
		Short: "Measure how memory, processor time and messages grow with size",
	}
	c.AddCommand(newMeasureTables(out), newMeasureControl(out), newMeasureRaces(out))
	return c
}

func newMeasureTables(out io.Writer) *cobra.Command {
	var sizes []int
	c := &cobra.Command{
		Use:   "tables",
		Short: "Measure the tables of one balancer over growing numbers of targets",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range sizes {
				t, err := measure.RunTables(n)
				if err != nil {
					return err
				}
				if err := writeLine(out, t); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "targets", []int{11, 1_000, 19_000, 150_000}, "numbers of targets")
	return c
}

func newMeasureControl(out io.Writer) *cobra.Command {
	var sizes []int
	var config measure.ControlConfig
	c := &cobra.Command{
		Use:   "control",
		Short: "Measure the control traffic of balancers over growing numbers of them",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range sizes {
				config.Balancers = n
				r, err := measure.RunControl(config)
				if err != nil {
					return err
				}
				if err := writeLine(out, r); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "balancers", []int{25, 50, 100, 200}, "numbers of balancers")
	c.Flags().IntVar(&config.AgentsPerBalancer, "agents", 10, "agents that report to each balancer")
	c.Flags().DurationVar(&config.Idle, "idle", 10*time.Second, "how long the idle system is measured")
	c.Flags().IntVar(&config.Changes, "changes", 100, "changes made after that")
	return c
}

func newMeasureRaces(out io.Writer) *cobra.Command {
	var config measure.RacesConfig
	c := &cobra.Command{
		Use:   "races",
		Short: "Let operators make competing changes and check the outcome of each change",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := measure.RunRaces(config)
			if err != nil {
				return err
			}
			return writeLine(out, r)
		},
	}
	c.Flags().IntVar(&config.Balancers, "balancers", 12, "number of balancers")
	c.Flags().IntVar(&config.Operators, "operators", 6, "number of operators")
	c.Flags().DurationVar(&config.Length, "length", 30*time.Second, "length of the run")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of all random choices")
	c.Flags().BoolVar(&config.Faults, "faults", false, "add outages, lost responses and restarts")
	return c
}

func writeLine(out io.Writer, x any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(x), "write result")
}
