package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

const otherService = "layouts"

// newTwoServiceBalancer returns a balancer with agents 1 and 2 of the route's service and
// agent 3 of another one.
func newTwoServiceBalancer() *testBalancer {
	b := newTestBalancer()
	m := testMember(3)
	m.Service = otherService
	m.Sequence = 1
	b.update(director.ReportMsg{
		Member: m,
		Report: holder.Report{
			Availability: holder.AvailabilityOpen,
		},
	})
	b.list(1, 2)
	return b
}

func configOf(version routing.Version, service string) director.ConfigMsg {
	return director.ConfigMsg{
		Config: &routing.Config{
			Version: version,
			Routes: map[routing.Address]routing.Route{
				testAddress: {
					Shares: []routing.Share{
						{
							Service: service,
							Weight:  1,
						},
					},
				},
			},
		},
	}
}

// lookUp runs a lookup in which agents 1 and 2 do not hold the flow and agent 3 is
// unsure, and returns the effects.
func (b *testBalancer) lookUp() []director.Effect {
	b.packet()
	effects := append(b.unheld(1), b.unheld(2)...)
	b.update(director.FlushMsg{})
	for range 30 {
		effects = append(effects, b.update(director.ReplyMsg{
			From:   testMember(3).Address,
			Unsure: []flow.Tuple{testFlow},
		})...)
		effects = append(effects, b.advance(50*time.Millisecond)...)
	}
	return effects
}

func offeredTo(l []director.Effect, n int) bool {
	for _, e := range l {
		if x, ok := e.(director.DeliverEffect); ok && x.To == testMember(n).Address {
			return true
		}
	}
	return false
}

// TestPacketsReachNoOtherService looks up a flow while an agent of another service does
// not know its flows yet. That agent is queried, but its backend server must not get
// the packet. The soak test with faults found packets there (seeds 100, 104, 105, 108).
func TestPacketsReachNoOtherService(t *testing.T) {
	b := newTwoServiceBalancer()
	effects := b.lookUp()
	require.False(t, offeredTo(effects, 3))
	require.NotContains(t, effects, testReset, "the agent may hold the flow all the same")
}

// TestPacketsReachAnEarlierService does the same with an earlier configuration that sent
// the route to the other service: its agent must be offered the packet, because flows
// that opened then stay there.
func TestPacketsReachAnEarlierService(t *testing.T) {
	b := newTwoServiceBalancer()
	b.update(configOf(2, otherService))
	b.update(configOf(3, testService))
	require.True(t, offeredTo(b.lookUp(), 3))
}

// offersAfterRestart restarts agents 1 to 4 of one service and returns how many of them are
// offered the packet of a lookup. stopping is set if the agents have reported that they are
// stopping, and planned if their next processes report that they were asked to stop.
func offersAfterRestart(t *testing.T, stopping, planned bool) int {
	t.Helper()
	b := newTestBalancer()
	for n := 1; n <= 12; n++ {
		b.reportIncarnation(n, 1, stopping && n <= 4, time.Hour)
	}
	offered := 0
	b.now = b.now.Add(600 * time.Millisecond)
	for n := 1; n <= 4; n++ {
		b.reportAgent(n, 2, holder.Report{
			Availability:   holder.AvailabilityOpen,
			PlannedRestart: planned,
			Uptime:         100 * time.Millisecond,
		})
	}
	b.packet()
	for n := 5; n <= 12; n++ {
		b.unheld(n)
	}
	for n := 1; n <= 4; n++ {
		for _, e := range b.update(director.ReplyMsg{
			From:   testMember(n).Address,
			Unsure: []flow.Tuple{testFlow},
		}) {
			if x, ok := e.(director.DeliverEffect); ok && x.Offer {
				offered++
			}
		}
	}
	return offered
}

// reportIncarnation passes on a report from an incarnation of agent n.
func (b *testBalancer) reportIncarnation(n int, incarnation uint64, stopping bool, uptime time.Duration) {
	b.reportAgent(n, incarnation, holder.Report{
		Availability: holder.AvailabilityOpen,
		Stopping:     stopping,
		Uptime:       uptime,
	})
}

func (b *testBalancer) reportAgent(n int, incarnation uint64, r holder.Report) {
	m := testMember(n)
	m.Incarnation = incarnation
	m.Sequence = uint64(b.now.UnixMilli()) + 1
	b.update(director.ReportMsg{
		Member: m,
		Report: r,
	})
}

// TestPlannedRestartsMisrouteNoFlow guards against a fault of the scenario
// roll_of_agents on the grown liedtafel, seed 17328816132: agents were stopped in turn,
// and each lookup offered its packet to all that had just started, so three packets of
// an open flow reached other servers. The same holds for a balancer that was away when the
// agents were asked to stop.
func TestPlannedRestartsMisrouteNoFlow(t *testing.T) {
	require.LessOrEqual(t, offersAfterRestart(t, true, false), 2)
	require.LessOrEqual(t, offersAfterRestart(t, false, true), 2)
	require.Equal(t, 4, offersAfterRestart(t, false, false), "all agents that crashed are offered the packet")
}

// offersOfSilentServers plays lookups of one flow for a time, with a packet every 400 ms.
// The agents have run for long, but all reply unsure, and their backend servers neither
// accept nor return the packets. It returns the agents that were offered a packet.
func offersOfSilentServers(d time.Duration) []netip.AddrPort {
	const members = 8
	b := newTestBalancer()
	for n := 1; n <= members; n++ {
		b.reportIncarnation(n, 1, false, time.Hour)
	}
	var agents []netip.AddrPort
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		effects := b.update(director.TickMsg{})
		if end.Sub(b.now)%(400*time.Millisecond) == 0 {
			effects = append(effects, b.packet()...)
		}
		effects = append(effects, b.update(director.FlushMsg{})...)
		for i := 0; i < len(effects); i++ {
			switch x := effects[i].(type) {
			case director.QueryEffect:
				effects = append(effects, b.update(director.ReplyMsg{
					From:   x.To,
					Unsure: []flow.Tuple{testFlow},
				})...)
			case director.DeliverEffect:
				agents = append(agents, x.To)
			}
		}
	}
	return agents
}

// TestOffersNeverMisroute guards against a fault of the scenario roll_of_agents on the
// grown cugbe, seeds 1002 and 2003: after a restart of all agents, each lookup offered
// two packets, and the next one two more. Three packets of a live flow at other servers count
// as misrouting also when seconds lie between them.
func TestOffersNeverMisroute(t *testing.T) {
	agents := offersOfSilentServers(12 * time.Second)
	require.Len(t, agents, 2)
	require.NotEqual(t, agents[0], agents[1])
}

// TestOffersOfOtherBalancersCount guards against misrouting while agents and balancers are
// restarted in turn: two agents were offered packets by a balancer that has left the
// rotation, one has returned its packet and the other is unsure. A third agent must not be
// offered one.
func TestOffersOfOtherBalancersCount(t *testing.T) {
	b := newTestBalancer()
	for n := 1; n <= 4; n++ {
		b.reportIncarnation(n, 1, false, time.Hour)
	}
	b.packet()
	offers := map[flow.Tuple]uint8{
		testFlow: 1,
	}
	var effects []director.Effect
	for n, m := range []director.ReplyMsg{
		{
			Unheld: []flow.Tuple{testFlow},
			Offers: offers,
		},
		{
			Unsure: []flow.Tuple{testFlow},
			Offers: offers,
		},
		{
			Unsure: []flow.Tuple{testFlow},
		},
		{
			Unsure: []flow.Tuple{testFlow},
		},
	} {
		m.From = testMember(n + 1).Address
		effects = append(effects, b.update(m)...)
	}
	for _, e := range effects {
		_, sent := e.(director.DeliverEffect)
		require.False(t, sent, "a third agent is offered a packet")
	}
}
