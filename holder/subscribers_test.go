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

func recipients(s *holder.Subscribers, now time.Time) int {
	return len(s.Recipients(now))
}

// TestReportsGoToSendersOfNewFlows replays the flows of one agent at the target size:
// 4.7 new ones a second, each from another one of 1,875 balancers. None of these
// gets a report; a balancer that sends several flows does.
func TestReportsGoToSendersOfNewFlows(t *testing.T) {
	now := time.Unix(0, 0)
	s := holder.NewSubscribers(now, nil)
	sent := 0
	for i := range 600 {
		now = now.Add(213 * time.Millisecond)
		if s.FlowOpened(now, balancerAt(i%1875), 0.3) {
			sent++
		}
		if i%2 == 0 {
			sent += recipients(s, now)
		}
	}
	require.Zero(t, sent)

	require.False(t, s.FlowOpened(now, balancerAt(3000), 0.3))
	now = now.Add(time.Second)
	require.True(t, s.FlowOpened(now, balancerAt(3000), 0.3), "report at once with its second flow")
	require.False(t, s.FlowOpened(now, balancerAt(3000), 0.3), "it has subscribed already")
	require.Equal(t, 1, recipients(s, now.Add(holder.ReportInterval)))
	require.Zero(t, recipients(s, now.Add(holder.ReportLease)))
}

// TestBusyTargetReportsAtOnce checks that even the sender of a single flow gets a report
// when most slots are in use, but does not subscribe.
func TestBusyTargetReportsAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	s := holder.NewSubscribers(now, nil)
	require.True(t, s.FlowOpened(now, balancerAt(1), 0.9))
	require.Zero(t, recipients(s, now))
}

// TestChangesAreBroadcast checks that the report of a change goes to all balancers three
// times and then to none, and never to one that has been silent for long.
func TestChangesAreBroadcast(t *testing.T) {
	now := time.Unix(0, 0)
	s := holder.NewSubscribers(now, []netip.AddrPort{balancerAt(1), balancerAt(2)})
	s.Add(now, balancerAt(3))
	require.Zero(t, recipients(s, now))
	s.Broadcast()
	for range 3 {
		require.Equal(t, 3, recipients(s, now))
	}
	require.Zero(t, recipients(s, now))
	s.Broadcast()
	require.Zero(t, recipients(s, now.Add(time.Minute)), "removed after long silence")
}
