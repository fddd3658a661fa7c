package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var delayNow = time.Unix(1_800_000_000, 0)

// delayCandidate returns a candidate whose report came half a second before delayNow at most.
func delayCandidate(t *rapid.T, key uint64) placement.Candidate {
	load := cost.Load{
		Running: rapid.Uint32Range(0, 5).Draw(t, "running"),
		Rest:    time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "rest")),
		Routes: []cost.RouteCost{
			{
				Route:           replayRoute(0),
				Mean:            time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "mean")),
				RequestsPerFlow: rapid.Float64Range(0, 10).Draw(t, "requests"),
			},
		},
	}
	c := placement.Candidate{
		Key:     key,
		Local:   rapid.Bool().Draw(t, "local"),
		Slots:   rapid.Uint32Range(0, 5).Draw(t, "slots"),
		Busy:    rapid.Float64Range(0, 20).Draw(t, "busy"),
		Placed:  rapid.Uint32Range(0, 50).Draw(t, "placed"),
		Cold:    rapid.Bool().Draw(t, "cold"),
		Silence: time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "silence")),
	}
	if rapid.Bool().Draw(t, "known") {
		c.Load = &load
		c.Backlog = &placement.Backlog{}
		c.Backlog.SetReport(delayNow.Add(-c.Silence), load, c.Slots)
	}
	return c
}

func delayFlow(t *rapid.T) placement.Flow {
	return placement.Flow{
		Seed:        rapid.Uint64().Draw(t, "seed"),
		Route:       replayRoute(0),
		Limit:       time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "limit")),
		Returned:    rapid.Bool().Draw(t, "returned"),
		RemoteShare: rapid.Float64Range(0, 1).Draw(t, "share"),
	}
}

func delayCandidates(t *rapid.T) []placement.Candidate {
	var l []placement.Candidate
	for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
		l = append(l, delayCandidate(t, placement.Rank(7, uint64(i))))
	}
	return l
}

// TestMoreLoadNeverAttractsFlows guards against a target that gets more flows because more
// work, requests in flight or placed flows are known there.
func TestMoreLoadNeverAttractsFlows(t *testing.T) {
	c := placement.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		l := delayCandidates(t)
		f := delayFlow(t)
		before, ok := c.ChooseByDelay(delayNow, l, f)
		again, _ := c.ChooseByDelay(delayNow, l, f)
		require.Equal(t, before, again, "the choice depends only on its input")
		if !ok {
			return
		}
		i := rapid.IntRange(0, len(l)-1).Draw(t, "loaded")
		l[i].Busy += rapid.Float64Range(0, 10).Draw(t, "more_busy")
		l[i].Placed += rapid.Uint32Range(0, 10).Draw(t, "more_placed")
		if l[i].Backlog != nil {
			work := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "more_work"))
			l[i].Backlog.Place(delayNow, f.Priority, work)
		}
		after, ok := c.ChooseByDelay(delayNow, l, f)
		if ok && before.Index != i {
			require.NotEqual(t, i, after.Index)
		}
	})
}

// TestRoomIsNeverRefused guards against a refusal while any target has room, also one that was
// not drawn, in another domain, or silent.
func TestRoomIsNeverRefused(t *testing.T) {
	c := placement.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		l := delayCandidates(t)
		f := delayFlow(t)
		x, ok := c.ChooseByDelay(delayNow, l, f)
		for _, k := range l {
			idle := k.Backlog == nil || !k.Backlog.Known() || k.Backlog.Ahead(delayNow, f.Priority) == 0 && k.Load.Routes[0].Mean > 0
			if idle || k.Silence > c.SilenceTimeout {
				require.True(t, ok)
			}
		}
		if ok {
			require.Less(t, x.Index, len(l))
			require.GreaterOrEqual(t, x.Delay, time.Duration(0))
		}
	})
}

// TestBacklogStaysBounded guards against negative or unbounded work after any reports.
func TestBacklogStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b placement.Backlog
		now := delayNow
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "wait")))
			work := time.Duration(rapid.Int64().Draw(t, "work"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.SetReport(now, cost.Load{
					Running: 1,
					Rest:    work,
				}, rapid.Uint32().Draw(t, "slots"))
			case 1:
				b.Place(now, 1, work)
			case 2:
				b.Remove(now, 1, work)
			}
			require.GreaterOrEqual(t, b.Ahead(now, 2), b.Ahead(now, 1))
			require.GreaterOrEqual(t, b.Ahead(now, 0), time.Duration(0))
			require.LessOrEqual(t, b.Ahead(now, 9), time.Minute)
		}
	})
}

// BenchmarkChooseByDelay measures one decision at the numbers of targets of the users' regions.
func BenchmarkChooseByDelay(b *testing.B) {
	for _, n := range []int{11, 136, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := delayTargets(n)
			c := placement.DefaultConfig()
			b.ReportAllocs()
			for i := range b.N {
				c.ChooseByDelay(delayNow, l, placement.Flow{
					Seed:  uint64(i),
					Route: replayRoute(0),
					Limit: time.Second,
				})
			}
		})
	}
}

func delayTargets(n int) []placement.Candidate {
	var l []placement.Candidate
	for i := range n {
		load := cost.Load{
			Running: 3,
			Rest:    time.Duration(i%100) * time.Millisecond,
			Routes: []cost.RouteCost{
				{
					Route: replayRoute(0),
					Mean:  40 * time.Millisecond,
				},
			},
		}
		k := placement.Candidate{
			Key:     placement.Rank(7, uint64(i)),
			Local:   i%3 == 0,
			Slots:   3,
			Load:    &load,
			Backlog: &placement.Backlog{},
		}
		k.Backlog.SetReport(delayNow, load, 3)
		l = append(l, k)
	}
	return l
}

// TestChoiceAllocatesNothing guards the balancers' small share of a core in bursts.
func TestChoiceAllocatesNothing(t *testing.T) {
	l := delayTargets(1000)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		placement.DefaultConfig().ChooseByDelay(delayNow, l, placement.Flow{
			Route: replayRoute(0),
		})
	}))
}
