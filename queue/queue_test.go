package queue_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func testPacket(size int) queue.Packet {
	return queue.Packet{
		Segment: segment.Segment{
			Length: uint16(size),
		},
		Data: make([]byte, size),
	}
}

func testArrival(now time.Time, id int, p routing.Priority, objective, work time.Duration) queue.Arrival {
	return queue.Arrival{
		Flow: flow.Tuple{
			Caller: uint32(id),
		},
		Priority: p,
		Deadline: now.Add(objective),
		GiveUpAt: now.Add(3 * time.Second),
		Work:     work,
	}
}

// TestOrder runs a data file. "add" adds requests a millisecond apart, and "start" prints the
// number of each request that starts, with its priority; both with a 10 ms cost.
func TestOrder(t *testing.T) {
	var q *queue.Queue
	now := start
	added := 0
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, x *datadriven.TestData) string {
		arg := map[string]int{}
		for _, a := range x.CmdArgs {
			n := 0
			x.ScanArgs(t, a.Key, &n)
			arg[a.Key] = n
		}
		switch x.Cmd {
		case "new":
			q = queue.New(queue.Limits{})
			added = 0
		case "wait":
			now = now.Add(time.Duration(arg["ms"]) * time.Millisecond)
		case "add":
			for range arg["n"] {
				added++
				a := testArrival(now, added, routing.Priority(arg["priority"]), time.Duration(arg["objective_ms"])*time.Millisecond, 10*time.Millisecond)
				_, ok := q.Add(now, a, testPacket(100))
				require.True(t, ok)
				now = now.Add(time.Millisecond)
			}
		case "start":
			var l []string
			for range arg["n"] {
				r := q.Next(now)
				l = append(l, fmt.Sprintf("%d/p%d", r.Flow.Caller, r.Priority))
			}
			return strings.Join(l, " ") + "\n"
		case "work":
			return fmt.Sprintf("%v, %d packets, %d bytes\n", q.AppendWork(nil), q.Packets(), q.Bytes())
		}
		return ""
	})
}

// reference chooses by the rules of the package from an unordered list.
type reference struct {
	waiting []*queue.Request
	starts  map[routing.Priority]int
	streak  map[routing.Priority]int
}

func (r *reference) next(now time.Time) *queue.Request {
	var levels []routing.Priority
	for _, x := range r.waiting {
		if !slices.Contains(levels, x.Priority) {
			levels = append(levels, x.Priority)
		}
	}
	slices.Sort(levels)
	i := 0
	for i < len(levels)-1 && r.streak[levels[i]] >= 15 {
		i++
	}
	p := levels[i]
	for l := range r.streak {
		if l < p {
			r.streak[l] = 0
		}
	}
	r.streak[p]++
	if i == len(levels)-1 {
		r.streak[p] = 0
	}
	r.starts[p]++
	best := slices.MinFunc(r.waiting, func(a, b *queue.Request) int {
		for _, c := range []int{
			order(a.Priority == p, b.Priority == p),
			order(r.starts[p]%16 != 0 || a.ArrivedAt.Before(b.ArrivedAt), r.starts[p]%16 != 0 || b.ArrivedAt.Before(a.ArrivedAt)),
			order(!now.Add(a.Work).After(a.Deadline), !now.Add(b.Work).After(b.Deadline)),
			a.Deadline.Compare(b.Deadline),
			a.ArrivedAt.Compare(b.ArrivedAt),
		} {
			if c != 0 {
				return c
			}
		}
		return 0
	})
	r.remove(best)
	return best
}

// order returns a negative number if only a is set, and a positive one if only b is.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (r *reference) remove(x *queue.Request) {
	r.waiting = slices.DeleteFunc(r.waiting, func(y *queue.Request) bool { return x == y })
}

// ahead returns the least and the most work that goes before a new request of a priority: that
// of late requests of the same priority does not, but only those with the earliest deadlines are
// known to be late.
func (r *reference) ahead(now time.Time, p routing.Priority) (least, most time.Duration) {
	for _, x := range r.waiting {
		if x.Priority > p {
			continue
		}
		most += x.Work
		if x.Priority < p || !now.Add(x.Work).After(x.Deadline) {
			least += x.Work
		}
	}
	return least, most
}

// TestMatchesReference guards against requests that are lost, started twice or started in
// another order than the rules say, and against counters that drift.
func TestMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 60).Draw(t, "packets")
		q := queue.New(queue.Limits{
			Packets: limit,
		})
		ref := reference{
			starts: map[routing.Priority]int{},
			streak: map[routing.Priority]int{},
		}
		now := start
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				// Requests that arrive at different times have no ties.
				now = now.Add(time.Millisecond)
				id++
				ms := func(name string) time.Duration {
					return time.Duration(rapid.IntRange(1, 60).Draw(t, name)) * time.Millisecond
				}
				a := testArrival(now, id, routing.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), ms("objective"), ms("work"))
				r, ok := q.Add(now, a, testPacket(10))
				require.Equal(t, len(ref.waiting) < limit, ok)
				if ok {
					ref.waiting = append(ref.waiting, r)
				}
			},
			"next": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond)
				if len(ref.waiting) == 0 {
					require.Nil(t, q.Next(now))
					return
				}
				want := ref.next(now)
				require.Same(t, want, q.Next(now))
			},
			"remove": func(t *rapid.T) {
				if len(ref.waiting) > 0 {
					r := rapid.SampledFrom(ref.waiting).Draw(t, "request")
					q.Remove(r)
					ref.remove(r)
				}
			},
			"due": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond)
				for r := q.Due(now); r != nil; r = q.Due(now) {
					require.True(t, r.GivenUp(now))
					ref.remove(r)
				}
				for _, r := range ref.waiting {
					require.False(t, r.GivenUp(now))
				}
			},
			"": func(t *rapid.T) {
				q.Recycle()
				require.Equal(t, len(ref.waiting), q.Len())
				require.Equal(t, len(ref.waiting), q.Packets())
				require.Equal(t, 10*len(ref.waiting), q.Bytes())
				work := time.Duration(0)
				for _, w := range q.AppendWork(nil) {
					work += w.Work
				}
				for _, r := range ref.waiting {
					work -= r.Work
				}
				require.Zero(t, work)
				ahead := cost.Load{
					Queued: q.AppendAhead(now, nil),
				}
				require.True(t, slices.IsSortedFunc(ahead.Queued, func(a, b cost.PriorityWork) int {
					return cmp.Compare(a.Priority, b.Priority)
				}))
				for p := range routing.Priority(6) {
					least, most := ref.ahead(now, p)
					got := ahead.Wait(p, 1)
					require.LessOrEqual(t, least, got)
					require.LessOrEqual(t, got, most)
				}
			},
		})
	})
}
