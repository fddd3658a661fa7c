package cost_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestTableIsBounded guards against estimates outside of what was observed: negative or above
// the largest observation by more than the stated factor of the drift, and against a table that
// grows with the number of routes.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := cost.NewTable()
		now := time.Unix(1_800_000_000, 0)
		largest := 10 * cost.DefaultMean
		for range rapid.IntRange(0, 200).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "gap")))
			work := time.Duration(rapid.Int64Range(-int64(time.Second), int64(2*time.Minute)).Draw(t, "work"))
			route := replayRoute(rapid.IntRange(0, 40).Draw(t, "route"))
			if rapid.Bool().Draw(t, "unfinished") {
				table.ObserveUnfinished(now, route, work)
			} else {
				table.Observe(now, route, work)
				table.ObserveRequest(now, route, work > time.Second)
			}
			largest = max(largest, work)
		}
		for _, c := range table.Costs(100) {
			require.Positive(t, c.Mean)
			require.LessOrEqual(t, c.Mean, 16*largest)
			require.LessOrEqual(t, c.P50, c.P90)
			require.LessOrEqual(t, c.P90, c.P99)
			require.Less(t, c.RequestsPerFlow, 10_001.0)
			for e := time.Duration(0); e < 3*time.Minute; e += 10 * time.Second {
				require.GreaterOrEqual(t, table.Rest(c.Route, e), time.Duration(0))
				require.LessOrEqual(t, table.Rest(c.Route, e), 16*largest)
			}
		}
		require.LessOrEqual(t, len(table.Costs(100)), 32)
		require.LessOrEqual(t, len(table.Costs(8)), 8)
	})
}

// TestFalseReportsAreBounded guards against an agent whose false report decides for all: with
// less than half of the reports false, the merged mean stays within four times the true range.
func TestFalseReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := cost.NewMerger()
		add := func(mean time.Duration) {
			m.Add([]cost.RouteCost{
				{
					Mean:    mean,
					P99:     time.Duration(rapid.Int64().Draw(t, "p99")),
					Samples: rapid.Uint32Min(1).Draw(t, "samples"),
				},
			}, 1)
		}
		truths := rapid.SliceOfN(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)), 1, 10).Draw(t, "truths")
		low, high := time.Hour, time.Duration(0)
		for _, d := range truths {
			low, high = min(low, time.Duration(d)), max(high, time.Duration(d))
			add(time.Duration(d))
		}
		for range rapid.IntRange(0, len(truths)-1).Draw(t, "lies") {
			add(time.Duration(rapid.Int64().Draw(t, "lie")))
		}
		l := m.Take(8)
		require.Len(t, l, 1)
		require.GreaterOrEqual(t, l[0].Mean, low/4)
		require.LessOrEqual(t, l[0].Mean, 4*high)
	})
}

// TestFalseLengthsAreBounded guards against an agent whose false report decides the length that all
// compare responses with: with less than half of the reports false, it is one of the true range.
func TestFalseLengthsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := cost.NewMerger()
		add := func(bytes uint32) {
			m.Add([]cost.RouteCost{
				{
					Mean:          time.Millisecond,
					Samples:       rapid.Uint32Min(1).Draw(t, "samples"),
					ResponseBytes: bytes,
				},
			}, 1)
		}
		truths := rapid.SliceOfN(rapid.Uint32Range(100, 100_000), 1, 10).Draw(t, "truths")
		lies := rapid.SliceOfN(rapid.Uint32Min(1), 0, len(truths)-1).Draw(t, "lies")
		for _, n := range slices.Concat(truths, lies) {
			add(n)
		}
		for range rapid.IntRange(0, 5).Draw(t, "unknown") {
			add(0)
		}
		l := m.Take(8)
		require.Len(t, l, 1)
		if len(truths)+len(lies) < 3 {
			require.Zero(t, l[0].ResponseBytes)
			return
		}
		require.GreaterOrEqual(t, l[0].ResponseBytes, slices.Min(truths))
		require.LessOrEqual(t, l[0].ResponseBytes, slices.Max(truths))
	})
}

// TestLongFlowsAreRecognised guards against a route with flows of many requests that is taken
// for one of short flows until the first of them ends.
func TestLongFlowsAreRecognised(t *testing.T) {
	table := cost.NewTable()
	now := time.Unix(1_800_000_000, 0)
	long := replayRoute(1)
	short := replayRoute(2)
	for request := range 4 {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			table.ObserveRequest(now, long, request == 0)
			table.ObserveRequest(now, short, true)
			table.Observe(now, long, time.Millisecond)
			table.Observe(now, short, time.Millisecond)
		}
	}
	for _, c := range table.Costs(8) {
		if c.Route == long {
			require.Greater(t, c.RequestsPerFlow, 2.0)
		} else {
			require.InDelta(t, 1, c.RequestsPerFlow, 0.01)
		}
	}
}

// TestCallersThatGiveUpShowSlowness guards against a backend server so slow that no request gets
// a response before its caller leaves, and that would look as fast as before.
func TestCallersThatGiveUpShowSlowness(t *testing.T) {
	table := cost.NewTable()
	now := time.Unix(1_800_000_000, 0)
	route := routing.Address{}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		table.Observe(now, route, 40*time.Millisecond)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		table.ObserveUnfinished(now, route, 200*time.Millisecond)
	}
	require.Greater(t, table.Mean(route), 100*time.Millisecond)
}

func warmTable() (*cost.Table, routing.Address, time.Time) {
	table := cost.NewTable()
	now := time.Unix(1_800_000_000, 0)
	route := replayRoute(443)
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		table.Observe(now, route, time.Duration(30+i%20)*time.Millisecond)
	}
	return table, route, now
}

// TestSteadyStateDoesNotAllocate guards against garbage for each request at agents, which have
// a quarter of a core.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	table, route, now := warmTable()
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(20 * time.Millisecond)
		table.ObserveRequest(now, route, true)
		table.Observe(now, route, 44*time.Millisecond)
		table.Mean(route)
		table.P99(route)
		table.Rest(route, 20*time.Millisecond)
	}))
}

func BenchmarkObserve(b *testing.B) {
	table, route, now := warmTable()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		table.Observe(now, route, 44*time.Millisecond)
	}
}

// BenchmarkObserveAndRefresh has an update of the distribution in each iteration.
func BenchmarkObserveAndRefresh(b *testing.B) {
	table, route, now := warmTable()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(250 * time.Millisecond)
		table.Observe(now, route, 44*time.Millisecond)
	}
}

func BenchmarkRest(b *testing.B) {
	table, route, _ := warmTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Rest(route, 20*time.Millisecond)
	}
}

func BenchmarkMean(b *testing.B) {
	table, route, _ := warmTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Mean(route)
	}
}

// BenchmarkMerge merges the reports of 136 agents with eight routes each, which a balancer does
// at most once a second for each service.
func BenchmarkMerge(b *testing.B) {
	var routes []cost.RouteCost
	for i := range 8 {
		routes = append(routes, cost.RouteCost{
			Route:   replayRoute(i),
			Mean:    44 * time.Millisecond,
			Samples: 500,
		})
	}
	m := cost.NewMerger()
	b.ReportAllocs()
	for b.Loop() {
		for range 136 {
			m.Add(routes, 0.9)
		}
		m.Take(8)
	}
}
