package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// requests returns the requests for the reports of an agent among effects.
func requests(n int, effects []director.Effect) []director.ReportRequestEffect {
	var l []director.ReportRequestEffect
	for _, e := range effects {
		if x, ok := e.(director.ReportRequestEffect); ok && x.To == testMember(n).Address {
			l = append(l, x)
		}
	}
	return l
}

// TestSentinelsAreNotAskedForLoad guards against control traffic beyond the limit: renewals of
// subscriptions to sentinels that get no flows ask for no load and carry no costs. A flow gets
// the balancer the load at once, although the sentinel has just reported without it.
func TestSentinelsAreNotAskedForLoad(t *testing.T) {
	for _, loadAware := range []bool{false, true} {
		b := newCostBalancer(loadAware)
		for n := 1; n <= 3; n++ {
			b.reportCost(n, 1, 50*time.Millisecond)
		}
		renewals := 0
		for i := range 200 {
			b.now = b.now.Add(50 * time.Millisecond)
			if i%10 == 0 {
				for n := 1; n <= 3; n++ {
					b.reportWithoutLoad(n, 1)
				}
			}
			for _, e := range b.update(director.TickMsg{}) {
				if x, ok := e.(director.ReportRequestEffect); ok {
					renewals++
					require.Empty(t, x.Costs)
					require.False(t, x.WithLoad)
				}
			}
		}
		require.Positive(t, renewals)

		var l []director.ReportRequestEffect
		for i := range 2 {
			for n := 1; n <= 3; n++ {
				b.reportWithoutLoad(n, 1)
			}
			b.now = b.now.Add(time.Millisecond)
			effects := b.openFlow(i)
			for n := 1; n <= 3; n++ {
				l = append(l, requests(n, effects)...)
			}
		}
		if !loadAware {
			require.Empty(t, l, "the reports are new")
			continue
		}
		require.NotEmpty(t, l)
		for _, x := range l {
			require.True(t, x.WithLoad)
			require.NotEmpty(t, x.Costs)
		}
	}
}

// openFlow sends the first packet of a flow and returns the effects.
func (b *testBalancer) openFlow(n int) []director.Effect {
	t := testFlow
	t.CallerPort = uint16(n)
	return b.update(director.PacketMsg{
		Segment: segment.Segment{
			Tuple: t,
			Flags: segment.Syn,
		},
	})
}

// reportWithoutLoad sends a report of an agent as to a balancer to which it is a sentinel.
func (b *testBalancer) reportWithoutLoad(n int, incarnation uint64) {
	b.now = b.now.Add(time.Millisecond)
	m := testMember(n)
	m.Incarnation = incarnation
	m.Sequence = uint64(b.now.UnixMilli())
	b.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability:  holder.AvailabilityOpen,
			Slots:         5,
			ConfigVersion: 1,
		},
	})
}

// TestReportWithoutLoadKeepsFailures guards against a failing backend server that gets flows
// again because its agent has sent a report without a failure share. The share counts only for
// as long as if that report had not come. That of an earlier process of the agent does not count.
func TestReportWithoutLoadKeepsFailures(t *testing.T) {
	b := newFailingBalancer(true, 1)
	start := b.now
	require.Equal(t, 1, b.model.Stats().ServersEjected)
	for b.now.Sub(start) < outlier.ReturnTimeout-100*time.Millisecond {
		b.now = b.now.Add(50 * time.Millisecond)
		b.reportWithoutLoad(0, 1)
		b.update(director.TickMsg{})
		require.Equal(t, 1, b.model.Stats().ServersEjected)
	}
	b.now = start.Add(outlier.ReturnTimeout)
	b.update(director.TickMsg{})
	require.Zero(t, b.model.Stats().ServersEjected)

	b = newFailingBalancer(true, 1)
	b.reportWithoutLoad(0, 2)
	require.Zero(t, b.model.Stats().ServersEjected)
}

// TestReportWithoutLoadKeepsBacklog guards against a target that looks idle because its agent has
// sent a report without a load.
func TestReportWithoutLoadKeepsBacklog(t *testing.T) {
	b := newDelayBalancer(4)
	for i := range 3 {
		b.reportDelay(i, 900*time.Millisecond)
	}
	b.reportDelay(3, 0)
	m := delayMember(0)
	m.Sequence = uint64(b.now.UnixNano()) + 1
	b.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability: holder.AvailabilityOpen,
			Slots:        3,
		},
	})
	for n := range 3 {
		to, _ := b.openAt(n, func(netip.AddrPort, int) holder.RejectReason { return 0 })
		require.Equal(t, delayMember(3).Address, to[0])
	}
}
