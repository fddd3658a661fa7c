package director_test

import (
	"fmt"
	"math/rand/v2"
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

const (
	coldTargets   = 11
	coldBalancers = 4
	coldCallers   = 3000
	coldRate      = 8
	coldStep      = 10 * time.Millisecond
)

// coldRestart replays a restart of everything: all backend servers are cold, balancers and
// agents know nothing, and thousands of callers return at once, half of them to the urgent
// route. A caller that is refused or gets no reply comes back after some 300 ms. Datagrams
// take no time.
type coldRestart struct {
	rand      *rand.Rand
	now       time.Time
	balancers []*director.Model
	agents    []*holder.Model
	sequence  uint64
	refused   bool
	// admitted has the times of the flows that each agent has admitted.
	admitted [coldTargets][]time.Time
}

func coldRoute(priority int) routing.Address {
	return routing.Address{
		Host: testAddress.Host,
		Port: uint16(443 + priority),
	}
}

func newColdRestart(seed uint64, loadAware bool, rate float64) *coldRestart {
	c := &coldRestart{
		rand: rand.New(rand.NewPCG(seed, 9)),
		now:  time.Unix(1_800_000_000, 0),
	}
	config := &routing.Config{
		Version: 1,
		Routes:  map[routing.Address]routing.Route{},
	}
	for p := range 2 {
		config.Routes[coldRoute(p)] = routing.Route{
			Shares: []routing.Share{
				{
					Service: testService,
					Weight:  1,
				},
			},
			Class: routing.Class{
				Priority: routing.Priority(p),
			},
		}
	}
	var addresses []netip.AddrPort
	for i := range coldBalancers {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720))
		c.balancers = append(c.balancers, director.NewModel(director.Config{
			Name:      fmt.Sprintf("balancer-%d", i),
			Domain:    fmt.Sprintf("domain-%d", i%3),
			Placement: placement.DefaultConfig(),
			LoadAware: loadAware,
		}, c.now))
		c.toBalancer(i, director.ConfigMsg{
			Config: config,
		})
	}
	for i := range coldTargets {
		c.agents = append(c.agents, holder.NewModel(holder.Config{
			Service:   testService,
			Balancers: addresses,
			LoadAware: loadAware,
		}, c.now))
		c.toAgent(i, holder.ConfigMsg{
			Version:  1,
			ColdRate: rate,
		})
		c.toAgent(i, holder.EarlierRecordMsg{})
		c.toAgent(i, holder.HeartbeatMsg{
			ID:          "server",
			Incarnation: 1,
			Sequence:    1,
			Slots:       uint32(2 + i%4),
			ColdFor:     time.Minute,
		})
		c.toAgent(i, holder.RecordedMsg{
			Incarnation: 1,
		})
	}
	return c
}

func (c *coldRestart) toBalancer(i int, m director.Msg) {
	for _, e := range append([]director.Effect(nil), c.balancers[i].Update(c.now, m)...) {
		switch x := e.(type) {
		case director.DeliverEffect:
			c.toAgent(int(x.To.Addr().As4()[3]), holder.DeliverMsg{
				From:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720),
				Service: x.Service,
				Class:   x.Class,
				Segment: decodePacket(x.Data),
				Data:    x.Data,
			})
		case director.ReportRequestEffect:
			c.toAgent(int(x.To.Addr().As4()[3]), holder.ReportRequestMsg{
				From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720),
			})
		case director.ResetEffect:
			c.refused = true
		}
	}
}

func (c *coldRestart) toAgent(i int, m holder.Msg) {
	for _, e := range append([]holder.Effect(nil), c.agents[i].Update(c.now, m)...) {
		switch x := e.(type) {
		case holder.ToBackendEffect:
			c.admitted[i] = append(c.admitted[i], c.now)
		case holder.RejectEffect:
			c.toBalancer(int(x.To.Addr().As4()[3]), director.RejectMsg{
				From:    delayMember(i).Address,
				Reason:  x.Reason,
				Segment: x.Segment,
				Data:    x.Data,
			})
		case holder.ReportEffect:
			c.sequence++
			report := director.ReportMsg{
				Member: delayMember(i),
				Report: c.agents[i].Report(c.now),
			}
			report.Member.Sequence = c.sequence
			for _, a := range x.To {
				c.toBalancer(int(a.Addr().As4()[3]), report)
			}
		}
	}
}

// run returns the number of admitted flows by priority, of which callers return for the time d.
func (c *coldRestart) run(d time.Duration) (served [2]int) {
	due := make([]time.Time, coldCallers)
	end := c.now.Add(d)
	for i := range due {
		due[i] = c.now.Add(time.Duration(c.rand.Int64N(int64(200 * time.Millisecond))))
	}
	for port := uint16(0); c.now.Before(end); c.now = c.now.Add(coldStep) {
		for i := range c.agents {
			c.toAgent(i, holder.TickMsg{})
		}
		for i := range c.balancers {
			c.toBalancer(i, director.TickMsg{})
		}
		for _, n := range c.rand.Perm(coldCallers) {
			if due[n].IsZero() || c.now.Before(due[n]) {
				continue
			}
			port++
			s := segment.Segment{
				Tuple: flow.Tuple{
					Caller:      uint32(n + 1),
					Address:     testAddress.Host,
					CallerPort:  port,
					AddressPort: coldRoute(n % 2).Port,
				},
				Flags: segment.Syn,
			}
			before := c.total()
			c.toBalancer(c.rand.IntN(coldBalancers), director.PacketMsg{
				Segment: s,
				Data:    encodePacket(s),
			})
			due[n] = c.now.Add(300*time.Millisecond + time.Duration(c.rand.Int64N(int64(100*time.Millisecond))))
			if c.total() > before {
				served[n%2]++
				due[n] = time.Time{}
			}
		}
	}
	return served
}

func (c *coldRestart) total() int {
	n := 0
	for _, l := range c.admitted {
		n += len(l)
	}
	return n
}

// TestColdRestart compares both rules when everything restarts. Budgets stay exact in any
// second, and with load awareness they are used up no less, first for the urgent route.
func TestColdRestart(t *testing.T) {
	const seconds = 8
	for seed := range uint64(3) {
		var served [2][2]int
		for i, loadAware := range []bool{false, true} {
			c := newColdRestart(seed, loadAware, coldRate)
			served[i] = c.run(seconds * time.Second)
			for _, l := range c.admitted {
				for n := coldRate; n < len(l); n++ {
					require.Greater(t, l[n].Sub(l[n-coldRate]), time.Second, "the cold budget is exact")
				}
			}
			t.Logf("seed %d, load-aware %v: admitted %d urgent, %d others", seed, loadAware, served[i][0], served[i][1])
		}
		// An agent admits nothing in its first second.
		possible := (seconds - 1) * coldRate * coldTargets
		require.Greater(t, served[1][0]+served[1][1], possible*9/10)
		require.GreaterOrEqual(t, 20*(served[1][0]+served[1][1]), 19*(served[0][0]+served[0][1]))
		require.Greater(t, served[1][0], served[0][0]*5/4)
		require.NotZero(t, served[1][1], "the others do not starve")
	}
}

// TestRestartSpreadsBySlots restarts everything with warm backend servers: no agent gets many
// more flows for each slot than others, although no balancer has a report at first.
func TestRestartSpreadsBySlots(t *testing.T) {
	for _, loadAware := range []bool{false, true} {
		c := newColdRestart(1, loadAware, 0)
		c.run(3 * time.Second)
		require.Equal(t, coldCallers, c.total())
		slots := 0
		for i := range c.admitted {
			slots += 2 + i%4
		}
		most := 0.0
		for i, l := range c.admitted {
			most = max(most, float64(len(l))/float64(2+i%4)*float64(slots)/coldCallers)
		}
		t.Logf("load-aware %v: most flows a slot / mean %.2f", loadAware, most)
		if loadAware {
			require.Less(t, most, 1.4)
		}
	}
}
