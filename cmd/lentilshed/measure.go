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
	var x measure.ControlConfig
	c := &cobra.Command{
		Use:   "control",
		Short: "Measure the control traffic of balancers over growing numbers of them",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range sizes {
				x.Balancers = n
				r, err := measure.RunControl(x)
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
	c.Flags().IntVar(&x.AgentsPerBalancer, "agents", 10, "agents that each balancer hears")
	c.Flags().DurationVar(&x.Idle, "idle", 10*time.Second, "how long the idle system is watched")
	c.Flags().IntVar(&x.Changes, "changes", 100, "changes made after that")
	return c
}

func newMeasureRaces(out io.Writer) *cobra.Command {
	var x measure.RacesConfig
	c := &cobra.Command{
		Use:   "races",
		Short: "Let operators race through faults and check what became of each change",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := measure.RunRaces(x)
			if err != nil {
				return err
			}
			return writeLine(out, r)
		},
	}
	c.Flags().IntVar(&x.Balancers, "balancers", 12, "number of balancers")
	c.Flags().IntVar(&x.Operators, "operators", 6, "number of operators")
	c.Flags().DurationVar(&x.Length, "length", 30*time.Second, "how long they race")
	c.Flags().Uint64Var(&x.Seed, "seed", 1, "seed of everything random")
	c.Flags().BoolVar(&x.Faults, "faults", false, "add outages, lost answers and restarts")
	return c
}

func writeLine(out io.Writer, x any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(x), "write result")
}
