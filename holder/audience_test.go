package holder_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/stretchr/testify/require"
)

func balancerAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7720)
}

func recipients(a *holder.Subscribers, now time.Time) int {
	return len(a.Recipients(now))
}

// TestReportsFollowNewFlows replays the flows of one agent at the target size: 4.7
// new ones a second from 1,875 balancers, each to another one. Nobody is told
// anything but changes; a balancer that sends flow after flow is.
func TestReportsFollowNewFlows(t *testing.T) {
	now := time.Unix(0, 0)
	a := holder.NewSubscribers(now, nil)
	sent := 0
	for i := range 600 {
		now = now.Add(213 * time.Millisecond)
		if a.FlowOpened(now, balancerAt(i%1875), 0.3) {
			sent++
		}
		if i%2 == 0 {
			sent += recipients(a, now)
		}
	}
	require.Zero(t, sent)

	require.False(t, a.FlowOpened(now, balancerAt(3000), 0.3))
	now = now.Add(time.Second)
	require.True(t, a.FlowOpened(now, balancerAt(3000), 0.3), "told at once with its second flow")
	require.False(t, a.FlowOpened(now, balancerAt(3000), 0.3), "it follows already")
	require.Equal(t, 1, recipients(a, now.Add(holder.ReportPeriod)))
	require.Zero(t, recipients(a, now.Add(holder.ReportLease)))
}

// TestBusyTargetIsToldOf tells even the sender of a single flow.
func TestBusyTargetIsToldOf(t *testing.T) {
	now := time.Unix(0, 0)
	a := holder.NewSubscribers(now, nil)
	require.True(t, a.FlowOpened(now, balancerAt(1), 0.9))
	require.Zero(t, recipients(a, now))
}

// TestChangesAreToldToAll repeats a change to everybody, and then to nobody.
func TestChangesAreToldToAll(t *testing.T) {
	now := time.Unix(0, 0)
	a := holder.NewSubscribers(now, []netip.AddrPort{balancerAt(1), balancerAt(2)})
	a.Add(now, balancerAt(3))
	require.Zero(t, recipients(a, now))
	a.Broadcast()
	for range 3 {
		require.Equal(t, 3, recipients(a, now))
	}
	require.Zero(t, recipients(a, now))
	a.Broadcast()
	require.Zero(t, recipients(a, now.Add(time.Minute)), "forgotten after long silence")
}
