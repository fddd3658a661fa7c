package cost_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

// replay runs the commands of a data file: load on the tables of some agents of one service,
// and the merges of a balancer.
type replay struct {
	now    time.Time
	tables map[string]*cost.Table
	// reports has the latest report of each agent.
	reports map[string][]cost.RouteCost
	service []cost.RouteCost
	random  *rand.Rand
	// load is the report of a backend server with three slots, as a balancer knows it.
	load cost.Load
	// began is when the latest requests began.
	began time.Time
}

// TestReplays guards against estimates that are wrong under the loads that the data files name.
func TestReplays(t *testing.T) {
	datadriven.Walk(t, "testdata/replays", func(t *testing.T, path string) {
		r := &replay{
			now:     time.Unix(1_800_000_000, 0),
			tables:  map[string]*cost.Table{},
			reports: map[string][]cost.RouteCost{},
			random:  rand.New(rand.NewPCG(1, 2)),
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return r.run(t, d)
		})
	})
}

func replayRoute(n int) routing.Address {
	return routing.Address{
		Host: 0xc6120001,
		Port: uint16(n),
	}
}

func (r *replay) run(t *testing.T, d *datadriven.TestData) string {
	number := func(key string, otherwise float64) float64 {
		if d.HasArg(key) {
			d.MaybeScanArgs(t, key, &otherwise)
		}
		return otherwise
	}
	agent := "a"
	if d.HasArg("agent") {
		d.ScanArgs(t, "agent", &agent)
	}
	table := r.tables[agent]
	if table == nil {
		table = cost.NewTable()
		r.tables[agent] = table
	}
	route := replayRoute(int(number("route", 443)))
	switch d.Cmd {
	case "requests":
		// Requests of a work with a slowness of the backend server; 3% have seven times the
		// mean if there is a tail.
		mean := number("mean_ms", 44)
		detect := number("detect_ms", 0)
		if d.HasArg("parallel") {
			// At the same time as the requests before.
			r.now = r.began
		}
		r.began = r.now
		end := r.now.Add(time.Duration(number("for_s", 10) * float64(time.Second)))
		for start := r.now; r.now.Before(end); {
			r.now = r.now.Add(time.Duration(number("every_ms", 25) * float64(time.Millisecond)))
			table.Observe(r.now, route, r.work(mean, d.HasArg("tail"), number("slowness", 1)))
			if d.HasArg("light") {
				// As many requests of another route with a tenth of the work.
				table.Observe(r.now, replayRoute(80), r.work(mean/10, false, number("slowness", 1)))
			}
			if found := table.Mean(route).Seconds() * 1000; detect > 0 && found >= detect {
				within := r.now.Sub(start) <= time.Duration(number("within_s", 2)*float64(time.Second))
				return fmt.Sprintf("detected, in time %v\n", within)
			}
		}
		return ""
	case "idle":
		for range int(number("for_s", 10)) {
			r.now = r.now.Add(time.Second)
			table.Advance(r.now)
		}
		return ""
	case "estimate":
		// Estimates are rounded to 10%, so that they do not depend on the library's buckets.
		return fmt.Sprintf("mean %s p99 %s rest after %gms %s\n", rounded(table.Mean(route)), rounded(table.P99(route)),
			number("ran_ms", 0), rounded(table.Rest(route, time.Duration(number("ran_ms", 0)*float64(time.Millisecond)))))
	case "report":
		r.reports[agent] = table.Costs(8)
		return fmt.Sprintf("%d routes\n", len(r.reports[agent]))
	case "restart":
		r.tables[agent] = cost.NewTable()
		return ""
	case "merge":
		m := cost.NewMerger()
		for _, c := range r.reports {
			m.Add(c, number("weight", 1))
		}
		r.service = m.Take(8)
		return describe(r.service)
	case "prior":
		table.SetPrior(r.service)
		return ""
	case "speed":
		return fmt.Sprintf("%.1f\n", cost.Speed(r.reports[agent], r.service))
	}
	return r.runLoad(t, d, number)
}

// runLoad runs the commands on the load of a backend server with three slots.
func (r *replay) runLoad(t *testing.T, d *datadriven.TestData, number func(string, float64) float64) string {
	work := time.Duration(number("work_ms", 44) * float64(time.Millisecond))
	priority := routing.Priority(number("priority", 1))
	switch d.Cmd {
	case "running":
		r.load = cost.Load{
			Running: uint32(number("n", 1)),
			Rest:    work,
		}
	case "queued":
		r.load.Queued = append(r.load.Queued, cost.PriorityWork{
			Priority: priority,
			Work:     work,
			Requests: uint32(number("n", 1)),
		})
	case "place":
		for range int(number("n", 1)) {
			r.load.Add(priority, work, 3)
		}
	case "age":
		r.load.Age(time.Duration(number("ms", 0)*float64(time.Millisecond)), 3)
	default:
		require.Fail(t, "unknown command", d.Cmd)
	}
	return fmt.Sprintf("running %d, wait %s at priority 1, %s at priority 2\n", r.load.Running, r.load.Wait(1, 3), r.load.Wait(2, 3))
}

func (r *replay) work(mean float64, tail bool, slowness float64) time.Duration {
	factor := 0.9 + 0.2*r.random.Float64()
	if tail {
		// The others have 0.79/0.97 of the mean, so that the mean is kept.
		if r.random.Float64() < 0.03 {
			factor *= 7
		} else {
			factor *= 0.79 / 0.97
		}
	}
	return time.Duration(mean * factor * slowness * float64(time.Millisecond))
}

func describe(l []cost.RouteCost) string {
	var b strings.Builder
	for _, c := range l {
		fmt.Fprintf(&b, "route %d mean %s p50 %s p99 %s\n", c.Route.Port, rounded(c.Mean), rounded(c.P50), rounded(c.P99))
	}
	return b.String()
}

// rounded returns a time in steps of 10% of a power of two of milliseconds.
func rounded(d time.Duration) string {
	ms := d.Seconds() * 1000
	step := 0.1
	for step*20 < ms {
		step *= 2
	}
	return fmt.Sprintf("%.3gms", float64(int(ms/step+0.5))*step)
}
