package director_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// newDelayBalancer returns a load-aware balancer with n agents, each in the next of three
// failure domains, whose reports say that their backend servers are full for any flow.
func newDelayBalancer(n int) *testBalancer {
	now := time.Unix(1_800_000_000, 0)
	b := &testBalancer{
		now: now,
		model: director.NewModel(director.Config{
			Name:      "balancer",
			Domain:    "domain-0",
			Placement: placement.DefaultConfig(),
			LoadAware: true,
		}, now),
	}
	b.update(director.ConfigMsg{
		Config: &routing.Config{
			Version: 1,
			Routes: map[routing.Address]routing.Route{
				testAddress: {
					Shares: []routing.Share{
						{
							Service: testService,
							Weight:  1,
						},
					},
					Class: routing.Class{
						Priority:  1,
						Objective: 200 * time.Millisecond,
						Timeout:   time.Second,
					},
				},
			},
		},
	})
	b.now = b.now.Add(2 * time.Second)
	for i := range n {
		b.reportDelay(i, 20*time.Second)
	}
	return b
}

func delayMember(i int) director.Member {
	return director.Member{
		Name:        fmt.Sprintf("station-%d", i),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, byte(i)}), 8172),
		Service:     testService,
		Domain:      fmt.Sprintf("domain-%d", i%3),
		Incarnation: 1,
	}
}

// reportDelay sends the report of an agent with three slots that has some work left.
func (b *testBalancer) reportDelay(i int, work time.Duration) {
	b.now = b.now.Add(time.Microsecond)
	x := delayMember(i)
	x.Sequence = uint64(b.now.UnixNano())
	b.update(director.ReportMsg{
		Member: x,
		Report: holder.Report{
			Availability: holder.AvailabilityOpen,
			Slots:        3,
			HasLoad:      true,
			Load: cost.Load{
				Running: 3,
				Rest:    work,
			},
		},
	})
}

// open sends the first packet of a flow, lets reject decide about each delivery, and returns
// the agents that got it and whether the flow was reset.
func (b *testBalancer) openAt(n int, reject func(to netip.AddrPort, try int) holder.RejectReason) (to []netip.AddrPort, reset bool) {
	s := segment.Segment{
		Tuple: flow.Tuple{
			Caller:      uint32(n),
			Address:     testAddress.Host,
			CallerPort:  uint16(1024 + n),
			AddressPort: testAddress.Port,
		},
		Flags: segment.Syn,
	}
	var msg director.Msg = director.PacketMsg{
		Segment: s,
	}
	for msg != nil {
		effects := b.update(msg)
		msg = nil
		for _, e := range effects {
			switch x := e.(type) {
			case director.ResetEffect:
				reset = true
			case director.DeliverEffect:
				to = append(to, x.To)
				if r := reject(x.To, len(to)); r != 0 {
					msg = director.RejectMsg{
						From:    x.To,
						Reason:  r,
						Segment: s,
					}
				}
			}
		}
	}
	return to, reset
}

func acceptAll(netip.AddrPort, int) holder.RejectReason {
	return 0
}

// TestFullServiceRefusesAtOnce guards against tries at agents that are known to be full, and
// against a refusal while a single one has room, in whatever domain.
func TestFullServiceRefusesAtOnce(t *testing.T) {
	const agents = 40
	b := newDelayBalancer(agents)
	to, reset := b.openAt(1, acceptAll)
	require.True(t, reset)
	require.Empty(t, to)
	require.Equal(t, uint64(1), b.model.Stats().RefusedByLevel[1])
	for i := range agents {
		b.reportDelay(i, 0)
		for n := range 5 {
			to, reset = b.openAt(100+5*i+n, acceptAll)
			require.False(t, reset)
			require.Equal(t, delayMember(i).Address, to[0])
		}
		b.reportDelay(i, 20*time.Second)
	}
}

// TestTriesEndAtTheOnlyAgentWithRoom guards against a refusal after a limited number of tries:
// reports are late, and all agents but one have become full.
func TestTriesEndAtTheOnlyAgentWithRoom(t *testing.T) {
	b := newDelayBalancer(20)
	for i := range 20 {
		b.reportDelay(i, 0)
	}
	for n := range 20 {
		room := delayMember(n).Address
		b.now = b.now.Add(20 * time.Millisecond)
		to, reset := b.openAt(n, func(to netip.AddrPort, _ int) holder.RejectReason {
			if to == room {
				return 0
			}
			return holder.RejectFull
		})
		require.False(t, reset)
		require.Equal(t, room, to[len(to)-1])
		require.Len(t, unique(to), len(to), "no agent is tried twice")
	}
}

// TestDeferredFlowComesBack guards against flows that are lost or refused when each agent
// defers them: the first one gets it again.
func TestDeferredFlowComesBack(t *testing.T) {
	b := newDelayBalancer(12)
	for i := range 12 {
		b.reportDelay(i, 0)
	}
	seen := map[netip.AddrPort]bool{}
	to, reset := b.openAt(1, func(to netip.AddrPort, _ int) holder.RejectReason {
		if seen[to] {
			return 0
		}
		seen[to] = true
		return holder.RejectBusy
	})
	require.False(t, reset)
	require.Equal(t, to[0], to[len(to)-1])
	require.LessOrEqual(t, len(to), 7)
	require.NotZero(t, b.model.Stats().Deferred[1])
}

// TestRejectionsSpareLaterFlows guards against bursts in which each flow is tried at the same
// full agents: what one has learned holds for the next ones for a moment, and no longer.
func TestRejectionsSpareLaterFlows(t *testing.T) {
	b := newDelayBalancer(10)
	for i := range 10 {
		b.reportDelay(i, 0)
	}
	full := func(netip.AddrPort, int) holder.RejectReason { return holder.RejectFull }
	to, reset := b.openAt(1, full)
	require.True(t, reset)
	require.Len(t, to, 10)
	to, reset = b.openAt(2, full)
	require.True(t, reset)
	require.Empty(t, to)
	b.now = b.now.Add(20 * time.Millisecond)
	to, reset = b.openAt(3, acceptAll)
	require.False(t, reset)
	require.Len(t, to, 1)
}

func unique(l []netip.AddrPort) map[netip.AddrPort]bool {
	m := map[netip.AddrPort]bool{}
	for _, a := range l {
		m[a] = true
	}
	return m
}
