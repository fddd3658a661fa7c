package holder_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/stretchr/testify/require"
)

// reported returns the recipients of reports with and without load among effects.
func reported(l []holder.Effect) (full, withoutLoad []netip.AddrPort) {
	for _, e := range l {
		if x, ok := e.(holder.ReportEffect); ok && x.WithoutLoad {
			withoutLoad = append(withoutLoad, x.To...)
		} else if ok {
			full = append(full, x.To...)
		}
	}
	return full, withoutLoad
}

// TestOnlySendersOfFlowsGetLoad guards against control traffic that grows with load reports to
// balancers that need none, and against a balancer that loses its load reports when it renews
// its subscription as that to a sentinel.
func TestOnlySendersOfFlowsGetLoad(t *testing.T) {
	for _, loadAware := range []bool{false, true} {
		now := time.Unix(1_800_000_000, 0)
		m := holder.NewModel(holder.Config{
			Service:   scriptService,
			LoadAware: loadAware,
		}, now)
		m.Update(now, holder.HeartbeatMsg{
			ID:          "i-1",
			Incarnation: 5,
			Sequence:    1,
			Slots:       3,
		})
		request := func(n int, withoutLoad bool) (full, without []netip.AddrPort) {
			return reported(m.Update(now, holder.ReportRequestMsg{
				From:        balancerAt(n),
				WithoutLoad: withoutLoad,
			}))
		}
		full, without := request(1, true)
		if !loadAware {
			require.Equal(t, []netip.AddrPort{balancerAt(1)}, full)
			require.Empty(t, without)
			require.False(t, m.Report(now).HasLoad)
			continue
		}
		require.Empty(t, full)
		require.Equal(t, []netip.AddrPort{balancerAt(1)}, without)
		request(2, false)
		full, without = request(2, true)
		require.Equal(t, []netip.AddrPort{balancerAt(2)}, full)
		require.Empty(t, without)

		now = now.Add(holder.ReportInterval)
		full, without = reported(m.Update(now, holder.TickMsg{}))
		require.Equal(t, []netip.AddrPort{balancerAt(2)}, full)
		require.Equal(t, []netip.AddrPort{balancerAt(1)}, without)

		now = now.Add(holder.ReportLease - holder.ReportInterval)
		request(2, true)
		full, without = reported(m.Update(now, holder.TickMsg{}))
		require.Empty(t, full, "the lease of load reports ends in spite of renewals without load")
		require.Equal(t, []netip.AddrPort{balancerAt(2)}, without)
		require.True(t, m.Report(now).HasLoad)
		require.False(t, m.Report(now).WithoutLoad().HasLoad)
	}
}

// TestSentinelThatGetsFlowsSendsLoad guards against a sentinel's subscription that keeps the
// second flow of a balancer from getting it load reports.
func TestSentinelThatGetsFlowsSendsLoad(t *testing.T) {
	now := time.Unix(0, 0)
	s := holder.NewSubscribers(now, nil)
	s.Subscribe(now, balancerAt(1), false)
	require.False(t, s.FlowOpened(now, balancerAt(1), 0.3))
	require.False(t, s.WantsLoad(now, balancerAt(1)))
	require.True(t, s.FlowOpened(now, balancerAt(1), 0.3))
	require.True(t, s.WantsLoad(now, balancerAt(1)))
	s.Subscribe(now, balancerAt(1), false)
	require.True(t, s.WantsLoad(now, balancerAt(1)))
}
