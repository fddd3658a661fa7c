package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

const ejectionTargets = 12

// newFailingBalancer returns a balancer that has reports of targets, the first of which are
// failing.
func newFailingBalancer(loadAware bool, failing int) *testBalancer {
	b := &testBalancer{
		now: time.Unix(1_800_000_000, 0),
	}
	b.model = director.NewModel(director.Config{
		Domain:    "domain-a",
		Placement: placement.DefaultConfig(),
		LoadAware: loadAware,
	}, b.now)
	b.update(configOf(1, testService))
	for n := range ejectionTargets {
		r := holder.Report{
			Availability: holder.AvailabilityOpen,
			Slots:        5,
			HasLoad:      true,
		}
		if n < failing {
			r.Failures = outlier.Estimate{
				Share:   0.9,
				Samples: 20,
			}
		}
		b.reportAgent(n, 1, r)
	}
	return b
}

// open sends the first packet of a flow and returns the number of the target that gets it.
func (b *testBalancer) open(n int) int {
	t := testFlow
	t.CallerPort = uint16(n)
	s := segment.Segment{
		Tuple:    t,
		Flags:    segment.Syn,
		Sequence: uint32(n),
	}
	for _, e := range b.update(director.PacketMsg{
		Segment: s,
		Data:    encodePacket(s),
	}) {
		if x, ok := e.(director.DeliverEffect); ok {
			return int(x.To.Addr().As4()[3])
		}
	}
	return -1
}

// TestEjectedTargetsGetProbeTraffic counts the flows of the ejected targets: about 1 in 50 of their
// share while the balancer is load-aware, and their share while it is not.
func TestEjectedTargetsGetProbeTraffic(t *testing.T) {
	for _, x := range []struct {
		loadAware   bool
		least, most int
	}{
		{
			loadAware: true,
			least:     1,
			most:      30,
		},
		{
			least: 300,
			most:  700,
		},
	} {
		b := newFailingBalancer(x.loadAware, 3)
		n := 0
		for i := range 2000 {
			if to := b.open(i + 1); to < 3 {
				n++
			}
		}
		require.GreaterOrEqual(t, n, x.least)
		require.LessOrEqual(t, n, x.most)
	}
}

// TestEjectedTargetsAreTheLastResort takes all other targets away: a flow must rather go to an
// ejected target than be refused.
func TestEjectedTargetsAreTheLastResort(t *testing.T) {
	b := newFailingBalancer(true, 1)
	require.Equal(t, 1, b.model.Stats().ServersEjected)
	b.now = b.now.Add(100 * time.Millisecond)
	for n := 1; n < ejectionTargets; n++ {
		b.reportAgent(n, 1, holder.Report{
			HasLoad:      true,
			Availability: holder.AvailabilityDraining,
		})
	}
	for i := range 100 {
		require.Equal(t, 0, b.open(i+1))
	}
}

// TestEjectionEndsWithoutReports guards against a target that stays ejected at a balancer which
// gets no more reports of it, because it opens few flows.
func TestEjectionEndsWithoutReports(t *testing.T) {
	b := newFailingBalancer(true, 1)
	b.advance(outlier.ReturnTimeout - time.Second)
	require.Equal(t, 1, b.model.Stats().ServersEjected)
	b.advance(time.Second)
	require.Zero(t, b.model.Stats().ServersEjected)
}

// BenchmarkFirstPacket measures the placement of new flows with and without ejected targets.
func BenchmarkFirstPacket(b *testing.B) {
	for _, failing := range []int{0, 3} {
		for _, aware := range []bool{false, true} {
			b.Run(fmt.Sprintf("failing=%d/load_aware=%v", failing, aware), func(b *testing.B) {
				x := newFailingBalancer(aware, failing)
				s := segment.Segment{
					Tuple: testFlow,
					Flags: segment.Syn,
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					s.Tuple.CallerPort = uint16(i)
					s.Sequence = uint32(i)
					x.model.Update(x.now, director.PacketMsg{
						Segment: s,
					})
				}
			})
		}
	}
}
