package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// testBalancer is the model of one balancer that has the reports of two agents.
type testBalancer struct {
	model *director.Model
	now   time.Time
}

func newTestBalancer() *testBalancer {
	d := &testBalancer{
		now: time.Unix(1_800_000_000, 0),
	}
	d.model = director.NewModel(director.Config{
		Domain:    "domain-a",
		Placement: placement.DefaultConfig(),
	}, d.now)
	d.model.Update(d.now, director.ConfigMsg{
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
				},
			},
		},
	})
	d.report(1, holder.AvailabilityOpen)
	d.report(2, holder.AvailabilityOpen)
	return d
}

// update returns the effects of a message. The number of agents in a ResetEffect is
// cleared.
func (d *testBalancer) update(m director.Msg) []director.Effect {
	var l []director.Effect
	for _, e := range d.model.Update(d.now, m) {
		if x, ok := e.(director.ResetEffect); ok {
			x.Agents = 0
			e = x
		}
		l = append(l, e)
	}
	return l
}

func testMember(n int) director.Member {
	return director.Member{
		Name:        string(rune('a' + n)),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n)}), 8172),
		Service:     testService,
		Domain:      "domain-a",
		Incarnation: 1,
	}
}

func (d *testBalancer) report(n int, a holder.Availability) []director.Effect {
	m := testMember(n)
	m.Sequence = uint64(d.now.UnixMilli())
	return d.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability: a,
			Slots:        5,
		},
	})
}

func (d *testBalancer) list(n ...int) []director.Effect {
	var l []director.Member
	for _, x := range n {
		l = append(l, testMember(x))
	}
	return d.update(director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full:   true,
			Listed: l,
		},
		RequestedAt: d.now,
	})
}

var testFlow = flow.Tuple{
	Caller:      0x64400001,
	CallerPort:  4001,
	Address:     testAddress.Host,
	AddressPort: testAddress.Port,
}

func (d *testBalancer) packet() []director.Effect {
	s := segment.Segment{
		Tuple: testFlow,
		Flags: segment.Ack,
		Ack:   700,
	}
	return d.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	})
}

func (d *testBalancer) unheld(n int) []director.Effect {
	return d.update(director.ReplyMsg{
		From:   testMember(n).Address,
		Unheld: []flow.Tuple{testFlow},
	})
}

// advance lets time pass and returns the effects of one tick.
func (d *testBalancer) advance(t time.Duration) []director.Effect {
	d.now = d.now.Add(t)
	return d.update(director.TickMsg{})
}

var testReset = director.ResetEffect{
	Tuple:    testFlow,
	Sequence: 700,
	Cause:    director.CauseNotHeld,
}

// TestResetNeedsEveryAnswerAndAFreshList checks that a flow that no agent holds is reset
// only after every agent has replied so, including those of a list that is newer than
// the packet.
func TestResetNeedsEveryAnswerAndAFreshList(t *testing.T) {
	d := newTestBalancer()
	d.list(1, 2)
	d.advance(time.Millisecond)
	require.NotContains(t, d.packet(), testReset)
	require.NotContains(t, d.unheld(1), testReset)
	require.Contains(t, d.unheld(2), director.ListEffect{})
	require.NotContains(t, d.list(1, 2, 3), testReset, "the list has brought another agent")
	require.Contains(t, d.unheld(3), testReset)
}

// TestSilentAgentMayHoldTheFlow checks that the flow is not reset and the lookup times
// out while one agent does not reply.
func TestSilentAgentMayHoldTheFlow(t *testing.T) {
	d := newTestBalancer()
	d.list(1, 2)
	d.packet()
	d.unheld(1)
	for range 60 {
		require.NotContains(t, d.advance(50*time.Millisecond), testReset)
	}
	require.Equal(t, uint64(1), d.model.Stats().LookupsTimedOut)
}

// TestUnreachableAgentDoesNotBlockLookup has an agent in the list whose instance is
// gone: unsure agents must be offered the packet all the same, and in the end the flow
// must be reset. After all processes were killed on cugbe-balanceo scale-1, one record
// of a removed instance kept every lookup of the region from ending.
func TestUnreachableAgentDoesNotBlockLookup(t *testing.T) {
	d := newTestBalancer()
	d.list(1, 2, 3)
	d.packet()
	d.update(director.ReplyMsg{
		From:   testMember(1).Address,
		Unsure: []flow.Tuple{testFlow},
	})
	d.unheld(2)
	d.now = d.now.Add(time.Second)
	d.report(1, holder.AvailabilityOpen)
	d.report(2, holder.AvailabilityOpen)
	offered := false
	for _, e := range append(d.advance(time.Millisecond), d.update(director.ReplyMsg{
		From:   testMember(1).Address,
		Unsure: []flow.Tuple{testFlow},
	})...) {
		x, ok := e.(director.DeliverEffect)
		offered = offered || ok && x.Offer
	}
	require.True(t, offered)
	for range 25 {
		d.advance(400 * time.Millisecond)
		d.report(1, holder.AvailabilityOpen)
		d.report(2, holder.AvailabilityOpen)
	}
	d.packet()
	d.list(1, 2, 3)
	d.unheld(1)
	effects := d.unheld(2)
	for range 4 {
		effects = append(effects, d.advance(70*time.Millisecond)...)
		effects = append(effects, d.list(1, 2, 3)...)
	}
	require.Contains(t, effects, testReset)
}

// TestEndedAgentIsRemovedFromLookups guards against an incident of 4 December: an agent
// that had stopped after its backend server kept lookups from ending for five seconds,
// and an older list added it again.
func TestEndedAgentIsRemovedFromLookups(t *testing.T) {
	d := newTestBalancer()
	d.list(1, 2)
	d.advance(time.Millisecond)
	d.packet()
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, d.report(2, holder.AvailabilityEnded), testReset)
	d.advance(time.Millisecond)
	d.list(1, 2)
	d.packet()
	require.Contains(t, append(d.unheld(1), d.list(1, 2)...), testReset)
}

// TestUnknownFlowOfARemovedRouteIsReset checks that the reset needs no lookup.
func TestUnknownFlowOfARemovedRouteIsReset(t *testing.T) {
	d := newTestBalancer()
	d.model.Update(d.now, director.ConfigMsg{
		Config: &routing.Config{
			Version: 2,
		},
	})
	require.Contains(t, d.packet(), director.ResetEffect{
		Tuple:    testFlow,
		Sequence: 700,
		Cause:    director.CauseNoRoute,
	})
	d.model.Update(d.now, director.ConfigMsg{
		Config: &routing.Config{
			Version: 1,
		},
	})
	require.Equal(t, routing.Version(2), d.model.Version(), "an older version is ignored")
}

// TestCutOffBalancerIsNotReady checks that a balancer that received nothing from any
// agent for a second is not ready.
func TestCutOffBalancerIsNotReady(t *testing.T) {
	d := newTestBalancer()
	d.list(1, 2)
	require.True(t, d.model.Ready(d.now))
	for range 20 {
		d.advance(50 * time.Millisecond)
	}
	require.False(t, d.model.Ready(d.now))
	d.report(1, holder.AvailabilityOpen)
	require.True(t, d.model.Ready(d.now))
}

// TestFlowsOfAnEarlierProcessAreLookedUp restores the hint of a flow that no longer
// exists: it is reset without a packet from its caller.
func TestFlowsOfAnEarlierProcessAreLookedUp(t *testing.T) {
	d := newTestBalancer()
	d.model.Update(d.now, director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple: testFlow,
				Ack:   700,
			},
		},
	})
	d.list(1, 2)
	d.advance(400 * time.Millisecond)
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, append(d.unheld(2), d.list(1, 2)...), testReset)
}

// TestFlowsOfOtherBalancersAreNotLookedUp checks that the lookup of a restored flow is
// left to the balancer that it passed.
func TestFlowsOfOtherBalancersAreNotLookedUp(t *testing.T) {
	d := newTestBalancer()
	d.update(director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple:              testFlow,
				Ack:                700,
				Owner:              "unknown",
				BackendIncarnation: 5,
				Foreign:            true,
			},
		},
	})
	d.list(1, 2)
	d.advance(400 * time.Millisecond)
	require.Zero(t, d.model.Stats().Lookups)
}

// TestNewFlowWaitsForStartingTargets checks that a flow is not refused while balancer
// and targets start: the caller's next copy finds the target.
func TestNewFlowWaitsForStartingTargets(t *testing.T) {
	d := newTestBalancer()
	s := segment.Segment{
		Tuple:    testFlow,
		Flags:    segment.Syn,
		Sequence: 9,
	}
	packet := director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	}
	x := d.update(packet)[0].(director.DeliverEffect)
	require.Empty(t, d.update(director.RejectMsg{
		From:    x.To,
		Reason:  holder.RejectDown,
		Segment: s,
		Data:    encodePacket(s),
	}))
	d.packet() // A packet of a flow that has no target starts a lookup.
	require.Equal(t, uint64(1), d.model.Stats().Lookups)
	d.now = d.now.Add(200 * time.Millisecond)
	d.report(1, holder.AvailabilityOpen)
	d.report(2, holder.AvailabilityOpen)
	require.IsType(t, director.DeliverEffect{}, d.update(packet)[0])
}

// TestHintsOfARunningServerAreRestored restores the hint of a flow whose backend server
// still runs, beside an agent that was killed together with the balancer. The flow's
// packets go there at once, without a lookup or an offer to another agent. When another
// incarnation of the server is reported, the flow is looked up.
func TestHintsOfARunningServerAreRestored(t *testing.T) {
	d := newTestBalancer()
	d.update(director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple:              testFlow,
				Ack:                700,
				Owner:              testMember(2).Name,
				BackendIncarnation: 5,
			},
		},
	})
	d.list(1, 2)
	d.advance(time.Millisecond)
	effects := d.packet()
	require.Len(t, effects, 1)
	require.Equal(t, testMember(2).Address, effects[0].(director.DeliverEffect).To)
	m := testMember(2)
	m.Sequence = uint64(d.now.Add(time.Second).UnixMilli())
	d.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability:       holder.AvailabilityOpen,
			BackendIncarnation: 6,
		},
	})
	d.now = d.now.Add(400 * time.Millisecond)
	d.report(1, holder.AvailabilityOpen)
	d.advance(time.Millisecond)
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, append(d.unheld(2), d.list(1, 2)...), testReset)
}

// TestNewFlowIsRefusedAtOnce checks that a new flow is sent to each target once and then
// reset.
func TestNewFlowIsRefusedAtOnce(t *testing.T) {
	d := newTestBalancer()
	s := segment.Segment{
		Tuple:    testFlow,
		Flags:    segment.Syn,
		Sequence: 9,
	}
	effects := d.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	})
	sentTo := map[netip.AddrPort]bool{}
	for range 3 {
		x, ok := effects[0].(director.DeliverEffect)
		if !ok {
			break
		}
		require.False(t, sentTo[x.To])
		sentTo[x.To] = true
		effects = d.update(director.RejectMsg{
			From:    x.To,
			Reason:  holder.RejectFull,
			Segment: s,
			Data:    encodePacket(s),
		})
	}
	require.Len(t, sentTo, 2)
	require.Contains(t, effects, director.ResetEffect{
		Tuple: testFlow,
		Cause: director.CauseNoTarget,
	})
}
