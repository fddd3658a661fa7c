package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

var testSyn = segment.Segment{
	Tuple:    testFlow,
	Flags:    segment.Syn,
	Sequence: 900,
}

// deliveries returns the agents to which packets are sent.
func deliveries(l []director.Effect) []netip.AddrPort {
	var to []netip.AddrPort
	for _, e := range l {
		if x, ok := e.(director.DeliverEffect); ok {
			to = append(to, x.To)
		}
	}
	return to
}

func (b *testBalancer) syn() []netip.AddrPort {
	return deliveries(b.update(director.PacketMsg{
		Segment: testSyn,
		Data:    encodePacket(testSyn),
	}))
}

func (b *testBalancer) rejectSyn(from netip.AddrPort, reason holder.RejectReason) []netip.AddrPort {
	return deliveries(b.update(director.RejectMsg{
		From:    from,
		Reason:  reason,
		Segment: testSyn,
		Data:    encodePacket(testSyn),
	}))
}

var otherAgent = []netip.AddrPort{testMember(3).Address}

// TestRepeatedFirstPacketFollowsAMovedRoute moves a route to another service between two copies
// of a flow's first packet.
func TestRepeatedFirstPacketFollowsAMovedRoute(t *testing.T) {
	b := newTwoServiceBalancer()
	first := b.syn()
	require.Len(t, first, 1)
	b.now = b.now.Add(200 * time.Millisecond)
	require.Equal(t, first, b.syn(), "while the route is as it was")
	b.update(configOf(2, otherService))
	require.Equal(t, otherAgent, b.syn())
}

// TestDeferredFlowFollowsAMovedRoute moves a route to another service while a new flow waits at
// agents that have deferred it.
func TestDeferredFlowFollowsAMovedRoute(t *testing.T) {
	b := newTwoServiceBalancer()
	at := b.syn()
	for range 2 {
		require.Len(t, at, 1)
		at = b.rejectSyn(at[0], holder.RejectBusy)
	}
	require.Len(t, at, 1)
	b.update(configOf(2, otherService))
	require.Equal(t, otherAgent, b.rejectSyn(at[0], holder.RejectBusy))
}
