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

// desk is one balancer with two agents that it has heard.
type desk struct {
	model *director.Model
	now   time.Time
}

func newDesk() *desk {
	d := &desk{
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
				worldAddress: {
					Shares: []routing.Share{
						{
							Service: worldService,
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

// update returns the effects of a message; how many agents decided a reset is
// left out.
func (d *desk) update(m director.Msg) []director.Effect {
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

func deskMember(n int) director.Member {
	return director.Member{
		Name:        string(rune('a' + n)),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n)}), 8172),
		Service:     worldService,
		Domain:      "domain-a",
		Incarnation: 1,
	}
}

func (d *desk) report(n int, a holder.Availability) []director.Effect {
	m := deskMember(n)
	m.Sequence = uint64(d.now.UnixMilli())
	return d.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability: a,
			Slots:        5,
		},
	})
}

func (d *desk) list(n ...int) []director.Effect {
	var l []director.Member
	for _, x := range n {
		l = append(l, deskMember(x))
	}
	return d.update(director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full:   true,
			Listed: l,
		},
		RequestedAt: d.now,
	})
}

var deskFlow = flow.Tuple{
	Caller:      0x64400001,
	CallerPort:  4001,
	Address:     worldAddress.Host,
	AddressPort: worldAddress.Port,
}

func (d *desk) packet() []director.Effect {
	s := segment.Segment{
		Tuple: deskFlow,
		Flags: segment.Ack,
		Ack:   700,
	}
	return d.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	})
}

func (d *desk) unheld(n int) []director.Effect {
	return d.update(director.ReplyMsg{
		From:   deskMember(n).Address,
		Unheld: []flow.Tuple{deskFlow},
	})
}

// wait lets time pass and returns what ticks did.
func (d *desk) wait(t time.Duration) []director.Effect {
	d.now = d.now.Add(t)
	return d.update(director.TickMsg{})
}

var deskReset = director.ResetEffect{
	Tuple:    deskFlow,
	Sequence: 700,
	Cause:    director.CauseNotHeld,
}

// TestResetNeedsEveryAnswerAndAFreshList holds a flow that nobody knows until
// every agent has said no, those of a list that is newer than the packet too.
func TestResetNeedsEveryAnswerAndAFreshList(t *testing.T) {
	d := newDesk()
	d.list(1, 2)
	d.wait(time.Millisecond)
	require.NotContains(t, d.packet(), deskReset)
	require.NotContains(t, d.unheld(1), deskReset)
	require.Contains(t, d.unheld(2), director.ListEffect{})
	require.NotContains(t, d.list(1, 2, 3), deskReset, "the list has brought another agent")
	require.Contains(t, d.unheld(3), deskReset)
}

// TestSilentAgentMayHoldTheFlow lets one agent stay silent: the flow is not
// reset, and the search ends.
func TestSilentAgentMayHoldTheFlow(t *testing.T) {
	d := newDesk()
	d.list(1, 2)
	d.packet()
	d.unheld(1)
	for range 60 {
		require.NotContains(t, d.wait(50*time.Millisecond), deskReset)
	}
	require.Equal(t, uint64(1), d.model.Stats().LookupsTimedOut)
}

// TestAbsentAgentKeepsNoSearchFromGoingOn has an agent in the list whose instance
// is gone: unsure agents get the packet all the same, and in the end the flow is
// reset. It was seen after all processes were killed on cugbe-balanceo scale-1: one
// record of a removed instance kept every search of the region.
func TestAbsentAgentKeepsNoSearchFromGoingOn(t *testing.T) {
	d := newDesk()
	d.list(1, 2, 3)
	d.packet()
	d.update(director.ReplyMsg{
		From:   deskMember(1).Address,
		Unsure: []flow.Tuple{deskFlow},
	})
	d.unheld(2)
	d.now = d.now.Add(time.Second)
	d.report(1, holder.AvailabilityOpen)
	d.report(2, holder.AvailabilityOpen)
	offered := false
	for _, e := range append(d.wait(time.Millisecond), d.update(director.ReplyMsg{
		From:   deskMember(1).Address,
		Unsure: []flow.Tuple{deskFlow},
	})...) {
		x, ok := e.(director.DeliverEffect)
		offered = offered || ok && x.Offer
	}
	require.True(t, offered)
	for range 25 {
		d.wait(400 * time.Millisecond)
		d.report(1, holder.AvailabilityOpen)
		d.report(2, holder.AvailabilityOpen)
	}
	d.packet()
	d.list(1, 2, 3)
	d.unheld(1)
	effects := d.unheld(2)
	for range 4 {
		effects = append(effects, d.wait(70*time.Millisecond)...)
		effects = append(effects, d.list(1, 2, 3)...)
	}
	require.Contains(t, effects, deskReset)
}

// TestEndedAgentLeavesSearches is the incident of 4 December: an agent that had
// stopped after its backend server kept searches from ending for five seconds,
// and an older list brought it back.
func TestEndedAgentLeavesSearches(t *testing.T) {
	d := newDesk()
	d.list(1, 2)
	d.wait(time.Millisecond)
	d.packet()
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, d.report(2, holder.AvailabilityEnded), deskReset)
	d.wait(time.Millisecond)
	d.list(1, 2)
	d.packet()
	require.Contains(t, append(d.unheld(1), d.list(1, 2)...), deskReset)
}

// TestUnknownFlowOfARemovedRouteIsReset needs no search.
func TestUnknownFlowOfARemovedRouteIsReset(t *testing.T) {
	d := newDesk()
	d.model.Update(d.now, director.ConfigMsg{
		Config: &routing.Config{
			Version: 2,
		},
	})
	require.Contains(t, d.packet(), director.ResetEffect{
		Tuple:    deskFlow,
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

// TestCutOffBalancerIsNotReady hears no agent for a second.
func TestCutOffBalancerIsNotReady(t *testing.T) {
	d := newDesk()
	d.list(1, 2)
	require.True(t, d.model.Ready(d.now))
	for range 20 {
		d.wait(50 * time.Millisecond)
	}
	require.False(t, d.model.Ready(d.now))
	d.report(1, holder.AvailabilityOpen)
	require.True(t, d.model.Ready(d.now))
}

// TestFlowsOfAnEarlierProcessAreLookedFor restores a flow that has died: its
// caller is told without having sent anything.
func TestFlowsOfAnEarlierProcessAreLookedFor(t *testing.T) {
	d := newDesk()
	d.model.Update(d.now, director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple: deskFlow,
				Ack:   700,
			},
		},
	})
	d.list(1, 2)
	d.wait(400 * time.Millisecond)
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, append(d.unheld(2), d.list(1, 2)...), deskReset)
}

// TestFlowsOfOtherBalancersAreOnlyRecalled leaves the search for a dead flow to the
// balancer that it passed.
func TestFlowsOfOtherBalancersAreOnlyRecalled(t *testing.T) {
	d := newDesk()
	d.update(director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple:              deskFlow,
				Ack:                700,
				Owner:              "unknown",
				BackendIncarnation: 5,
				Foreign:            true,
			},
		},
	})
	d.list(1, 2)
	d.wait(400 * time.Millisecond)
	require.Zero(t, d.model.Stats().Lookups)
}

// TestStartingTargetsAreWaitedFor does not refuse a flow while everything starts:
// the caller's next copy finds the target.
func TestStartingTargetsAreWaitedFor(t *testing.T) {
	d := newDesk()
	s := segment.Segment{
		Tuple:    deskFlow,
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
	d.packet() // A packet of a flow that was placed nowhere starts a search.
	require.Equal(t, uint64(1), d.model.Stats().Lookups)
	d.now = d.now.Add(200 * time.Millisecond)
	d.report(1, holder.AvailabilityOpen)
	d.report(2, holder.AvailabilityOpen)
	require.IsType(t, director.DeliverEffect{}, d.update(packet)[0])
}

// TestFlowsOfALivingServerAreRecalled restores a flow whose backend server lives
// on beside an agent that was killed as well: its packets go there at once, with no
// search and nothing offered elsewhere. When another life is reported, the flow is
// searched for.
func TestFlowsOfALivingServerAreRecalled(t *testing.T) {
	d := newDesk()
	d.update(director.RestoreMsg{
		Flows: []director.FlowHint{
			{
				Tuple:              deskFlow,
				Ack:                700,
				Owner:              deskMember(2).Name,
				BackendIncarnation: 5,
			},
		},
	})
	d.list(1, 2)
	d.wait(time.Millisecond)
	effects := d.packet()
	require.Len(t, effects, 1)
	require.Equal(t, deskMember(2).Address, effects[0].(director.DeliverEffect).To)
	m := deskMember(2)
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
	d.wait(time.Millisecond)
	d.list(1, 2)
	d.unheld(1)
	require.Contains(t, append(d.unheld(2), d.list(1, 2)...), deskReset)
}

// TestNewFlowIsRefusedAtOnce asks each target once, then resets.
func TestNewFlowIsRefusedAtOnce(t *testing.T) {
	d := newDesk()
	s := segment.Segment{
		Tuple:    deskFlow,
		Flags:    segment.Syn,
		Sequence: 9,
	}
	effects := d.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	})
	asked := map[netip.AddrPort]bool{}
	for range 3 {
		x, ok := effects[0].(director.DeliverEffect)
		if !ok {
			break
		}
		require.False(t, asked[x.To])
		asked[x.To] = true
		effects = d.update(director.RejectMsg{
			From:    x.To,
			Reason:  holder.RejectFull,
			Segment: s,
			Data:    encodePacket(s),
		})
	}
	require.Len(t, asked, 2)
	require.Contains(t, effects, director.ResetEffect{
		Tuple: deskFlow,
		Cause: director.CauseNoTarget,
	})
}
