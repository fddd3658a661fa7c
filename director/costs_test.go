package director_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// newCostBalancer returns a balancer that knows three agents of one service.
func newCostBalancer(loadAware bool) *testBalancer {
	b := &testBalancer{
		now: time.Unix(1_800_000_000, 0),
	}
	b.model = director.NewModel(director.Config{
		Domain:    "domain-a",
		LoadAware: loadAware,
	}, b.now)
	b.update(configOf(1, testService))
	b.list(1, 2, 3)
	return b
}

// reportCost sends a report of an agent, with the mean cost of the route.
func (b *testBalancer) reportCost(n int, incarnation uint64, mean time.Duration) {
	m := testMember(n)
	m.Incarnation = incarnation
	m.Sequence = uint64(b.now.UnixMilli())
	r := holder.Report{
		Availability: holder.AvailabilityOpen,
		Slots:        3,
		HasLoad:      true,
		// An agent with an older configuration would be sent one at once.
		ConfigVersion: 1,
	}
	if mean > 0 {
		r.Load.Routes = []cost.RouteCost{
			{
				Route:   testAddress,
				Mean:    mean,
				P50:     mean,
				P90:     mean,
				P99:     2 * mean,
				Samples: 500,
			},
		}
	}
	b.update(director.ReportMsg{
		Member: m,
		Report: r,
	})
}

// requestedCosts lets time pass while the balancer opens flows, and returns the costs in each
// request for the reports of an agent.
func (b *testBalancer) requestedCosts(n int, d time.Duration) [][]cost.RouteCost {
	var l [][]cost.RouteCost
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		t := testFlow
		t.CallerPort = uint16(b.now.UnixMilli())
		l = append(l, costsIn(n, b.update(director.PacketMsg{
			Segment: segment.Segment{
				Tuple: t,
				Flags: segment.Syn,
			},
		}))...)
		l = append(l, costsIn(n, b.update(director.TickMsg{}))...)
	}
	return l
}

// costsIn returns the costs in each request for the reports of an agent.
func costsIn(n int, effects []director.Effect) [][]cost.RouteCost {
	var l [][]cost.RouteCost
	for _, e := range effects {
		if x, ok := e.(director.ReportRequestEffect); ok && x.To == testMember(n).Address {
			l = append(l, x.Costs)
		}
	}
	return l
}

// TestRestartedAgentIsSentServiceCosts guards against an agent that does not get what its
// neighbours know after its restart, and against costs in each of the requests, which would add
// to the control traffic.
func TestRestartedAgentIsSentServiceCosts(t *testing.T) {
	b := newCostBalancer(true)
	b.reportCost(1, 1, 30*time.Millisecond)
	b.reportCost(2, 1, 50*time.Millisecond)
	b.reportCost(3, 1, 70*time.Millisecond)
	sentinel := 0
	sent := 0
	for _, n := range []int{1, 2, 3} {
		for _, costs := range b.requestedCosts(n, 4*time.Second) {
			sentinel = n
			if len(costs) > 0 {
				sent++
				require.Equal(t, testAddress, costs[0].Route)
				require.InDelta(t, 50, costs[0].Mean.Seconds()*1000, 1)
			}
		}
		if sentinel > 0 {
			break
		}
	}
	require.NotZero(t, sentinel)
	require.Equal(t, 1, sent, "costs are not sent again at once")

	b.reportCost(sentinel, 2, 0)
	l := b.requestedCosts(sentinel, 3*time.Second)
	require.NotEmpty(t, l)
	require.NotEmpty(t, l[0], "the first request after a restart has the costs")
	require.InDelta(t, 50, l[0][0].Mean.Seconds()*1000, 21)
}

// TestCostsOutliveReports guards against a service that loses what is known of its costs when it
// is idle for longer than reports count.
func TestCostsOutliveReports(t *testing.T) {
	b := newCostBalancer(true)
	for n := 1; n <= 3; n++ {
		b.reportCost(n, 1, 50*time.Millisecond)
	}
	b.requestedCosts(1, 3*time.Second)
	b.now = b.now.Add(time.Hour)
	for n := 1; n <= 3; n++ {
		b.reportCost(n, 2, 0)
	}
	found := false
	for n := 1; n <= 3; n++ {
		for _, costs := range b.requestedCosts(n, 2*time.Second) {
			found = found || len(costs) > 0
		}
	}
	require.True(t, found)
}

// TestNoCostsUnlessLoadAware guards against report requests that change where no contract
// requires it.
func TestNoCostsUnlessLoadAware(t *testing.T) {
	b := newCostBalancer(false)
	for n := 1; n <= 3; n++ {
		b.reportCost(n, 1, 50*time.Millisecond)
	}
	for n := 1; n <= 3; n++ {
		for _, costs := range b.requestedCosts(n, 3*time.Second) {
			require.Empty(t, costs)
		}
	}
}
