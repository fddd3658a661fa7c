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

// hall is one balancer of a large region.
type hall struct {
	model    *director.Model
	now      time.Time
	solicits map[netip.AddrPort]int
	asked    int
}

const (
	hallServices = 5500
	hallAgents   = 18750
)

func hallAddress(i int) routing.Address {
	return routing.Address{
		Host: 0xc6120001 + uint32(i),
		Port: 443,
	}
}

func newHall() *hall {
	h := &hall{
		now:      time.Unix(1_800_000_000, 0),
		solicits: map[netip.AddrPort]int{},
	}
	h.model = director.NewModel(director.Config{
		Name:      "balancer",
		Domain:    "domain-0",
		Placement: placement.DefaultConfig(),
	}, h.now)
	c := &routing.Config{
		Version: 1,
		Routes:  map[routing.Address]routing.Route{},
	}
	for i := range hallServices {
		c.Routes[hallAddress(i)] = routing.Route{
			Shares: []routing.Share{
				{
					Service: fmt.Sprintf("service-%d", i),
					Weight:  1,
				},
			},
		}
	}
	h.update(director.ConfigMsg{
		Config: c,
	})
	m := director.MembersMsg{
		MemberChanges: director.MemberChanges{
			Full: true,
		},
		RequestedAt: h.now,
	}
	for i := range hallAgents {
		m.Listed = append(m.Listed, director.Member{
			Name:    fmt.Sprintf("agent-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8172),
			Service: fmt.Sprintf("service-%d", i%hallServices),
			Domain:  fmt.Sprintf("domain-%d", i%3),
		})
	}
	h.update(m)
	return h
}

// update performs a message; agents that are asked for reports send one at once.
func (h *hall) update(m director.Msg) {
	for _, e := range append([]director.Effect(nil), h.model.Update(h.now, m)...) {
		if x, ok := e.(director.ReportRequestEffect); ok {
			h.asked++
			h.solicits[x.To]++
		}
	}
}

// TestQuestionsFollowFlows replays a balancer at the target size, with 47 new flows a
// second to ever other services: it asks its sentinels and hardly anybody else.
func TestQuestionsFollowFlows(t *testing.T) {
	h := newHall()
	require.LessOrEqual(t, h.asked, 64, "a long list brings few questions")
	h.asked = 0
	const seconds = 20
	for n := range 47 * seconds {
		h.now = h.now.Add(time.Second / 47)
		h.update(director.PacketMsg{
			Segment: segment.Segment{
				Tuple: flow.Tuple{
					Caller:      0x64400001,
					CallerPort:  uint16(n),
					Address:     hallAddress(n * 7 % hallServices).Host,
					AddressPort: 443,
				},
				Flags:    segment.Syn,
				Sequence: uint32(n),
			},
		})
		if n%3 == 0 {
			h.update(director.TickMsg{})
		}
	}
	// Three sentinels that never answer are asked every 300 ms at most.
	require.LessOrEqual(t, h.asked, 3*seconds*10/3)
	require.Equal(t, uint64(47*seconds), h.model.Stats().Placed)
}

// TestCrowdedDomainAsksElsewhere fills the targets of the balancer's own domain: now
// the others are worth asking, a few at a time.
func TestCrowdedDomainAsksElsewhere(t *testing.T) {
	h := newHall()
	h.report(0, 0.2)
	h.open(1)
	h.open(2)
	elsewhere := h.agent(hallServices).Address
	require.Zero(t, h.solicits[elsewhere], "the own domain has room")
	h.report(0, 4.9)
	h.open(3)
	require.Positive(t, h.solicits[elsewhere])
}

// agent returns member i; agents i and i+hallServices serve the same.
func (h *hall) agent(i int) director.Member {
	return director.Member{
		Name:        fmt.Sprintf("agent-%d", i),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8172),
		Service:     fmt.Sprintf("service-%d", i%hallServices),
		Domain:      fmt.Sprintf("domain-%d", i%3),
		Incarnation: 1,
		Sequence:    uint64(h.now.UnixMilli()),
	}
}

func (h *hall) report(i int, busy float64) {
	h.now = h.now.Add(400 * time.Millisecond)
	h.update(director.ReportMsg{
		Member: h.agent(i),
		Report: holder.Report{
			Availability: holder.AvailabilityOpen,
			Slots:        5,
			Busy:         busy,
		},
	})
}

func (h *hall) open(n int) {
	h.update(director.PacketMsg{
		Segment: segment.Segment{
			Tuple: flow.Tuple{
				Caller:      0x64400001,
				CallerPort:  uint16(n),
				Address:     hallAddress(0).Host,
				AddressPort: 443,
			},
			Flags:    segment.Syn,
			Sequence: uint32(n),
		},
	})
}
