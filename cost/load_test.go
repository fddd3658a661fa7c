package cost_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawnLoad is any load that a report can have.
func drawnLoad(t *rapid.T) cost.Load {
	work := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "work"))
	})
	l := cost.Load{
		Running: rapid.Uint32().Draw(t, "running"),
		Rest:    work.Draw(t, "rest"),
	}
	for p := range rapid.IntRange(0, 8).Draw(t, "priorities") {
		l.Queued = append(l.Queued, cost.PriorityWork{
			Priority: routing.Priority(2 * p),
			Work:     work.Draw(t, "queued"),
			Requests: rapid.Uint32Min(1).Draw(t, "requests"),
		})
	}
	return l
}

func backlog(l cost.Load) time.Duration {
	d := l.Rest
	for _, q := range l.Queued {
		d += q.Work
	}
	return d
}

// TestLoadIsMonotone guards against a request that makes a wait shorter, and against negative
// times, also with reports of any other program.
func TestLoadIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawnLoad(t)
		slots := rapid.Uint32Range(0, 8).Draw(t, "slots")
		added := l.With(routing.Priority(rapid.Uint8Range(0, 20).Draw(t, "priority")),
			time.Duration(rapid.Int64().Draw(t, "mean")), slots)
		require.GreaterOrEqual(t, backlog(added), backlog(l))
		before := time.Duration(0)
		for p := range routing.Priority(20) {
			require.GreaterOrEqual(t, added.Wait(p, slots), l.Wait(p, slots))
			require.GreaterOrEqual(t, l.Wait(p, slots), before, "a less urgent request never waits less")
			before = l.Wait(p, slots)
		}
	})
}

// TestAgeingTakesNoMoreThanTheWorkDone guards against ageing that makes work or takes more than
// the slots can do, and against lost requests.
func TestAgeingTakesNoMoreThanTheWorkDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawnLoad(t)
		slots := rapid.Uint32().Draw(t, "slots")
		d := time.Duration(rapid.Int64().Draw(t, "age"))
		aged := l.Aged(d, slots)
		require.GreaterOrEqual(t, aged.Rest, time.Duration(0))
		require.LessOrEqual(t, backlog(aged), backlog(l))
		if d >= 0 && d <= time.Minute {
			done := time.Duration(min(slots, 1024)) * d
			require.GreaterOrEqual(t, backlog(aged), max(0, backlog(l)-done))
		}
		for _, q := range aged.Queued {
			require.GreaterOrEqual(t, q.Work, time.Duration(0))
			require.Positive(t, q.Requests)
			if d > 0 && slots > 0 {
				require.GreaterOrEqual(t, aged.Running, min(slots, 1024), "requests wait only while no slot is free")
			}
		}
		for p := range routing.Priority(20) {
			require.GreaterOrEqual(t, aged.Wait(p, slots), time.Duration(0))
		}
	})
}

// TestPlacedRequestsAgeWithoutAllocation guards against garbage for each first packet.
func TestPlacedRequestsAgeWithoutAllocation(t *testing.T) {
	l := cost.Load{
		Running: 3,
		Rest:    time.Second,
	}.With(1, time.Second, 3).With(2, time.Second, 3)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		l.Add(1, 44*time.Millisecond, 3)
		l.Add(2, 44*time.Millisecond, 3)
		l.Age(time.Millisecond, 3)
	}))
}
