package director_test

import (
	"fmt"
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

// regionBalancer is the model of one balancer of a large region. It counts its report
// requests.
type regionBalancer struct {
	model      *director.Model
	now        time.Time
	requestsTo map[netip.AddrPort]int
	requests   int
}

const (
	regionServices = 5500
	regionAgents   = 18750
)

func regionAddress(i int) routing.Address {
	return routing.Address{
		Host: 0xc6120001 + uint32(i),
		Port: 443,
	}
}

func newRegionBalancer() *regionBalancer {
	b := &regionBalancer{
		now:        time.Unix(1_800_000_000, 0),
		requestsTo: map[netip.AddrPort]int{},
	}
	b.model = director.NewModel(director.Config{
		Name:      "balancer",
		Domain:    "domain-0",
		Placement: placement.DefaultConfig(),
	}, b.now)
	c := &routing.Config{
		Version: 1,
		Routes:  map[routing.Address]routing.Route{},
	}
	for i := range regionServices {
		c.Routes[regionAddress(i)] = routing.Route{
			Shares: []routing.Share{
				{
					Service: fmt.Sprintf("service-%d", i),
					Weight:  1,
				},
			},
		}
	}
	b.update(director.ConfigMsg{
		Config: c,
	})
	m := director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full: true,
		},
		RequestedAt: b.now,
	}
	for i := range regionAgents {
		m.Listed = append(m.Listed, director.Member{
			Name:    fmt.Sprintf("agent-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8172),
			Service: fmt.Sprintf("service-%d", i%regionServices),
			Domain:  fmt.Sprintf("domain-%d", i%3),
		})
	}
	b.update(m)
	return b
}

// update passes a message to the model and counts the report requests among its
// effects.
func (b *regionBalancer) update(m director.Msg) {
	for _, e := range append([]director.Effect(nil), b.model.Update(b.now, m)...) {
		if x, ok := e.(director.ReportRequestEffect); ok {
			b.requests++
			b.requestsTo[x.To]++
		}
	}
}

// TestReportRequestsFollowFlows runs a balancer at the target size, with 47 new flows a
// second, each to another service. It must request reports of its sentinels and of
// hardly any other agent.
func TestReportRequestsFollowFlows(t *testing.T) {
	b := newRegionBalancer()
	require.LessOrEqual(t, b.requests, 64, "a long list leads to few report requests")
	b.requests = 0
	const seconds = 20
	for n := range 47 * seconds {
		b.now = b.now.Add(time.Second / 47)
		b.update(director.PacketMsg{
			Segment: segment.Segment{
				Tuple: flow.Tuple{
					Caller:      0x64400001,
					CallerPort:  uint16(n),
					Address:     regionAddress(n * 7 % regionServices).Host,
					AddressPort: 443,
				},
				Flags:    segment.Syn,
				Sequence: uint32(n),
			},
		})
		if n%3 == 0 {
			b.update(director.TickMsg{})
		}
	}
	// Reports of the three sentinels, which never answer, are requested every 300 ms at
	// most.
	require.LessOrEqual(t, b.requests, 3*seconds*10/3)
	require.Equal(t, uint64(47*seconds), b.model.Stats().Placed)
}

// TestCrowdedDomainRequestsRemoteReports fills the targets of the balancer's own domain.
// Only then must reports of the others be requested.
func TestCrowdedDomainRequestsRemoteReports(t *testing.T) {
	b := newRegionBalancer()
	b.report(0, 0.2)
	b.open(1)
	b.open(2)
	elsewhere := b.agent(regionServices).Address
	require.Zero(t, b.requestsTo[elsewhere], "the own domain has room")
	b.report(0, 4.9)
	b.open(3)
	require.Positive(t, b.requestsTo[elsewhere])
}

// agent returns member i; members i and i+regionServices have the same service.
func (b *regionBalancer) agent(i int) director.Member {
	return director.Member{
		Name:        fmt.Sprintf("agent-%d", i),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8172),
		Service:     fmt.Sprintf("service-%d", i%regionServices),
		Domain:      fmt.Sprintf("domain-%d", i%3),
		Incarnation: 1,
		Sequence:    uint64(b.now.UnixMilli()),
	}
}

func (b *regionBalancer) report(i int, busy float64) {
	b.now = b.now.Add(400 * time.Millisecond)
	b.update(director.ReportMsg{
		Member: b.agent(i),
		Report: holder.Report{
			Availability: holder.AvailabilityOpen,
			Slots:        5,
			Busy:         busy,
		},
	})
}

func (b *regionBalancer) open(n int) {
	b.update(director.PacketMsg{
		Segment: segment.Segment{
			Tuple: flow.Tuple{
				Caller:      0x64400001,
				CallerPort:  uint16(n),
				Address:     regionAddress(0).Host,
				AddressPort: 443,
			},
			Flags:    segment.Syn,
			Sequence: uint32(n),
		},
	})
}

// TestOlderConfigurationIsReplaced guards against agents that keep an idle timeout that is no
// longer in force: the report or the check of an agent with an older configuration is answered
// with a report request, which carries the present one.
func TestOlderConfigurationIsReplaced(t *testing.T) {
	b := newTestBalancer()
	b.update(configOf(5, testService))
	for _, x := range []struct {
		version uint64
		sent    bool
	}{
		{version: 4, sent: true},
		{version: 5},
		{version: 6},
	} {
		b.now = b.now.Add(time.Second)
		m := testMember(1)
		m.Sequence = uint64(b.now.UnixMilli())
		for _, msg := range []director.Msg{
			director.ReportMsg{
				Member: m,
				Report: holder.Report{
					Availability:  holder.AvailabilityOpen,
					ConfigVersion: x.version,
				},
			},
			director.ConfigCheckMsg{
				From:    m.Address,
				Version: x.version,
			},
		} {
			b.now = b.now.Add(400 * time.Millisecond)
			sent := false
			for _, e := range b.update(msg) {
				if r, ok := e.(director.ReportRequestEffect); ok {
					sent = r.To == m.Address
				}
			}
			require.Equal(t, x.sent, sent, "version %d, %T", x.version, msg)
		}
	}
}
