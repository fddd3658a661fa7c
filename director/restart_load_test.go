package director_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

const (
	// restartAgents is the number of agents of the larger service in the users' large
	// deployment, and restartFlows a balancer's share of its open flows.
	restartAgents = 109
	restartFlows  = 200
	// restartIncarnation is the incarnation of all backend servers before the restart.
	restartIncarnation = 5
)

func restartMember(n int) director.Member {
	return director.Member{
		Name:        fmt.Sprintf("station-%d", n),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(n >> 8), byte(n)}), 8172),
		Service:     testService,
		Domain:      fmt.Sprintf("domain-%d", n%6),
		Incarnation: 1,
	}
}

func restartFlow(n int) flow.Tuple {
	t := testFlow
	t.CallerPort = uint16(2000 + n)
	return t
}

// restartEffects plays the start of a balancer after everything has lost power: it reads
// the list of agents and its snapshot, and all agents but the first report that their
// backend servers have started anew. It returns the number of resets and of queried flows
// within the first second.
func restartEffects(b *testBalancer, confirmed bool) (resets, queries int) {
	count := func(effects []director.Effect) {
		for _, e := range effects {
			switch x := e.(type) {
			case director.ResetEffect:
				resets++
			case director.QueryEffect:
				queries += len(x.Flows)
			}
		}
	}
	var members []director.Member
	var saved []director.FlowHint
	for n := range restartAgents {
		members = append(members, restartMember(n))
	}
	for n := range restartFlows {
		saved = append(saved, director.FlowHint{
			Tuple:              restartFlow(n),
			Ack:                700,
			Owner:              restartMember(1 + n%(restartAgents-1)).Name,
			BackendIncarnation: restartIncarnation,
			Confirmed:          confirmed,
		})
	}
	count(b.update(director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full:   true,
			Listed: members,
		},
		RequestedAt: b.now,
	}))
	count(b.update(director.RestoreMsg{
		Flows: saved,
	}))
	count(b.update(director.TickMsg{}))
	for _, x := range members[1:] {
		x.Sequence = 1
		count(b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability:       holder.AvailabilityOpen,
				BackendIncarnation: restartIncarnation + 1,
			},
		}))
	}
	for range 20 {
		b.now = b.now.Add(50 * time.Millisecond)
		count(b.update(director.TickMsg{}))
		count(b.update(director.FlushMsg{}))
	}
	return resets, queries
}

// TestRestartOfAllEndsConfirmedFlowsWithoutQueries expects that a balancer resets the
// flows of its snapshot as soon as it knows that their backend servers have started anew,
// although one agent of the service is silent. If it had to look the flows up, it would
// query every agent about every flow, and the silent one would delay all resets.
func TestRestartOfAllEndsConfirmedFlowsWithoutQueries(t *testing.T) {
	resets, queries := restartEffects(newTestBalancer(), true)
	require.Equal(t, restartFlows, resets)
	require.Zero(t, queries)
}

// TestUnconfirmedFlowsAreNotResetUnproven expects that flows that no agent has confirmed
// are looked up, and not reset while an agent that may hold them is silent.
func TestUnconfirmedFlowsAreNotResetUnproven(t *testing.T) {
	resets, queries := restartEffects(newTestBalancer(), false)
	require.Zero(t, resets)
	require.NotZero(t, queries)
}

// TestConfirmedFlowEndsWithItsServer confirms a flow, restarts its backend server and
// expects a reset at once and for each later packet. A packet with unrelated numbers
// belongs to a later flow of the same addresses and ports, and is looked up.
func TestConfirmedFlowEndsWithItsServer(t *testing.T) {
	b := newTestBalancer()
	b.list(1, 2)
	b.update(director.ReplyMsg{
		From:               testMember(2).Address,
		Held:               []flow.Tuple{testFlow},
		BackendIncarnation: 5,
	})
	require.IsType(t, director.DeliverEffect{}, b.packet()[0])
	m := testMember(2)
	for i, incarnation := range []uint64{5, 6} {
		m.Sequence = uint64(b.now.UnixMilli()) + uint64(i+1)
		effects := b.update(director.ReportMsg{
			Member: m,
			Report: holder.Report{
				Availability:       holder.AvailabilityOpen,
				BackendIncarnation: incarnation,
			},
		})
		reset := false
		for _, e := range effects {
			if x, ok := e.(director.ResetEffect); ok {
				reset = x.Cause == director.CauseServerEnded
			}
		}
		require.Equal(t, incarnation == 6, reset)
	}
	require.Equal(t, director.CauseServerEnded, b.packet()[0].(director.ResetEffect).Cause)
	s := segment.Segment{
		Tuple: testFlow,
		Flags: segment.Ack,
		Ack:   1 << 30,
	}
	b.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	})
	require.Equal(t, uint64(1), b.model.Stats().Lookups)
}

// TestRotationChangeQueriesFewAgents replays a change of the fabric's rotation, which sends
// all flows to other balancers: one packet of each of 200 flows arrives without a hint. The
// agents for which placement draws a flow are queried first, so the number of queries does
// not grow with the number of agents.
func TestRotationChangeQueriesFewAgents(t *testing.T) {
	b := newTestBalancer()
	for n := range restartAgents {
		x := restartMember(n)
		x.Domain = "domain-a"
		x.Sequence = 1
		b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability: holder.AvailabilityOpen,
			},
		})
	}
	for n := range restartFlows {
		s := segment.Segment{
			Tuple: restartFlow(n),
			Flags: segment.Ack,
			Ack:   700,
		}
		b.update(director.PacketMsg{
			Segment: s,
			Data:    encodePacket(s),
		})
	}
	queries := 0
	for _, e := range b.update(director.FlushMsg{}) {
		queries += len(e.(director.QueryEffect).Flows)
	}
	require.LessOrEqual(t, queries, 3*restartFlows)
}

// TestUnsureAgentsAreNotQueriedAgainAtOnce restarts all agents beside running backend
// servers, so that none knows whether it holds a flow. Within its 1.2 s the lookup may query
// each three times, and the two that were offered a packet at each of its five retries.
func TestUnsureAgentsAreNotQueriedAgainAtOnce(t *testing.T) {
	b := newTestBalancer()
	for n := range restartAgents {
		x := restartMember(n)
		x.Sequence = 1
		b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability: holder.AvailabilityOpen,
				Uptime:       time.Minute,
			},
		})
	}
	queries := 0
	b.packet()
	for range 22 {
		for _, e := range b.update(director.FlushMsg{}) {
			q, ok := e.(director.QueryEffect)
			if !ok {
				continue
			}
			queries++
			b.update(director.ReplyMsg{
				From:   q.To,
				Unsure: []flow.Tuple{testFlow},
			})
		}
		b.now = b.now.Add(50 * time.Millisecond)
		b.update(director.TickMsg{})
	}
	require.LessOrEqual(t, queries, 3*(restartAgents+2)+2*5)
}

// TestEndedAgentEndsConfirmedFlows expects that the flows of an agent that reports its end
// are reset at once and on later packets: it has ended after its backend server.
func TestEndedAgentEndsConfirmedFlows(t *testing.T) {
	b := newTestBalancer()
	b.list(1, 2)
	b.update(director.ReplyMsg{
		From:               testMember(2).Address,
		Held:               []flow.Tuple{testFlow},
		BackendIncarnation: 5,
	})
	b.packet()
	m := testMember(2)
	m.Sequence = uint64(b.now.UnixMilli()) + 1
	effects := b.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability: holder.AvailabilityEnded,
		},
	})
	require.Contains(t, effects, director.ResetEffect{
		Tuple:    testFlow,
		Sequence: 700,
		Cause:    director.CauseServerEnded,
	})
	require.IsType(t, director.ResetEffect{}, b.packet()[0])
}

// TestRestartedAgentGetsItsHints restarts an agent beside a running backend server while a
// balancer still knows its confirmed flows: the balancer sends them once the agent has
// reported the same incarnation of the backend server, at most twice.
func TestRestartedAgentGetsItsHints(t *testing.T) {
	b := newTestBalancer()
	b.list(1, 2)
	b.update(director.ReplyMsg{
		From:               testMember(2).Address,
		Held:               []flow.Tuple{testFlow},
		BackendIncarnation: 5,
	})
	b.packet()
	sent := 0
	for i, r := range []struct{ agent, backend uint64 }{
		{agent: 1, backend: 5},
		{agent: 2, backend: 0},
		{agent: 2, backend: 5},
		{agent: 2, backend: 5},
		{agent: 2, backend: 5},
	} {
		m := testMember(2)
		m.Incarnation = r.agent
		m.Sequence = uint64(b.now.UnixMilli()) + uint64(i+1)
		uptime := time.Second
		if r.agent == 1 {
			uptime = time.Hour
		}
		for _, e := range b.update(director.ReportMsg{
			Member: m,
			Report: holder.Report{
				Availability:       holder.AvailabilityOpen,
				BackendIncarnation: r.backend,
				Uptime:             uptime,
			},
		}) {
			if x, ok := e.(director.HintsEffect); ok {
				sent++
				require.Equal(t, m.Address, x.To)
				require.Equal(t, testFlow, x.Flows[0].Tuple)
				require.Equal(t, uint64(5), x.BackendIncarnation)
			}
		}
	}
	require.Equal(t, 2, sent)
}

// TestUnsureLocalAgentsKeepLookupsInTheDomain restarts all agents beside running backend
// servers; the one that holds the flow is in the balancer's failure domain and accepts the
// packet that it is offered. No agent of another domain may be queried.
func TestUnsureLocalAgentsKeepLookupsInTheDomain(t *testing.T) {
	b := newTestBalancer()
	local := map[netip.AddrPort]bool{
		testMember(1).Address: true,
		testMember(2).Address: true,
	}
	for n := range restartAgents {
		x := restartMember(n)
		if n%6 == 0 {
			x.Domain = "domain-a"
			local[x.Address] = true
		}
		x.Sequence = 1
		b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability: holder.AvailabilityOpen,
				Uptime:       time.Second,
			},
		})
	}
	holding := restartMember(6).Address
	effects := append(b.packet(), b.update(director.FlushMsg{})...)
	for range 6 {
		for i := 0; i < len(effects); i++ {
			switch x := effects[i].(type) {
			case director.QueryEffect:
				require.True(t, local[x.To], "%s is in another domain", x.To)
				effects = append(effects, b.update(director.ReplyMsg{
					From:   x.To,
					Unsure: []flow.Tuple{testFlow},
				})...)
				effects = append(effects, b.update(director.FlushMsg{})...)
			case director.DeliverEffect:
				if x.To == holding {
					b.update(director.ReplyMsg{
						From: x.To,
						Held: []flow.Tuple{testFlow},
					})
				}
			}
		}
		b.now = b.now.Add(50 * time.Millisecond)
		effects = append(b.update(director.TickMsg{}), b.update(director.FlushMsg{})...)
	}
	require.Equal(t, uint64(1), b.model.Stats().LookupsFound)
}

// TestRestoredHintsGoToStartedAgents restores hints after all processes were killed beside
// running backend servers: the agents, which have reported before, are sent their flows.
func TestRestoredHintsGoToStartedAgents(t *testing.T) {
	b := newTestBalancer()
	var members []director.Member
	for n := range 4 {
		members = append(members, restartMember(n))
	}
	b.update(director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full:   true,
			Listed: members,
		},
		RequestedAt: b.now,
	})
	for _, x := range members {
		x.Sequence = 1
		b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability:       holder.AvailabilityOpen,
				BackendIncarnation: restartIncarnation,
				Uptime:             time.Second,
			},
		})
	}
	var saved []director.FlowHint
	for n := range 8 {
		saved = append(saved, director.FlowHint{
			Tuple:              restartFlow(n),
			Ack:                700,
			Owner:              members[n%4].Name,
			BackendIncarnation: restartIncarnation,
			Confirmed:          true,
			Foreign:            n >= 4,
		})
	}
	b.update(director.RestoreMsg{
		Flows: saved,
	})
	sent := map[netip.AddrPort]int{}
	for _, e := range b.update(director.TickMsg{}) {
		if x, ok := e.(director.HintsEffect); ok {
			sent[x.To] += len(x.Flows)
		}
	}
	require.Len(t, sent, 4)
	for _, x := range members {
		require.Equal(t, 1, sent[x.Address], "foreign flows are left to their balancers")
	}
}

// TestOffersWaitForAgentsOfOtherDomains restarts the agents of the balancer's failure domain
// as planned, while an agent of another domain holds the flow. The local agents are unsure;
// none of them may be offered a packet before the other one was queried.
func TestOffersWaitForAgentsOfOtherDomains(t *testing.T) {
	b := newTestBalancer()
	const remote = 2
	for n := range 6 {
		x := testMember(n + 1)
		x.Domain = "domain-a"
		if n+1 == remote {
			x.Domain = "domain-b"
		}
		x.Sequence = uint64(b.now.UnixMilli()) + 1
		b.update(director.ReportMsg{
			Member: x,
			Report: holder.Report{
				Availability: holder.AvailabilityOpen,
				Uptime:       10 * time.Second,
			},
		})
	}
	effects := append(b.packet(), b.update(director.FlushMsg{})...)
	for i := 0; i < len(effects); i++ {
		switch x := effects[i].(type) {
		case director.DeliverEffect:
			require.Equal(t, testMember(remote).Address, x.To)
		case director.QueryEffect:
			reply := director.ReplyMsg{
				From:   x.To,
				Unsure: []flow.Tuple{testFlow},
			}
			if x.To == testMember(remote).Address {
				reply = director.ReplyMsg{
					From: x.To,
					Held: []flow.Tuple{testFlow},
				}
			}
			effects = append(effects, b.update(reply)...)
			effects = append(effects, b.update(director.FlushMsg{})...)
		}
	}
	require.Equal(t, uint64(1), b.model.Stats().LookupsFound)
}
