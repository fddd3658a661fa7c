package host

import (
	"math"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

// TestLoadRoundTrip guards against balancers and agents reading other values than were sent.
func TestLoadRoundTrip(t *testing.T) {
	l := cost.Load{
		Running: 3,
		Rest:    90 * time.Millisecond,
		Queued: []cost.PriorityWork{
			{
				Priority: 1,
				Work:     44 * time.Millisecond,
				Requests: 1,
			},
		},
		Routes: []cost.RouteCost{
			{
				Route: routing.Address{
					Host: 0xc6120001,
					Port: 443,
				},
				Mean:            44 * time.Millisecond,
				P50:             40 * time.Millisecond,
				P90:             90 * time.Millisecond,
				P99:             300 * time.Millisecond,
				Samples:         120,
				RequestsPerFlow: 1.5,
				ResponseBytes:   40_000,
			},
		},
	}
	require.Equal(t, l, decodeLoad(encodeLoad(true, l)))
	require.NotNil(t, encodeLoad(true, cost.Load{}), "a load of nothing differs from none")
	require.Nil(t, encodeLoad(false, cost.Load{}), "a report without a load must not grow")
	require.Equal(t, cost.Load{}, decodeLoad(nil))
}

// TestMalformedLoadIsBounded guards against overflow by the report of another program.
func TestMalformedLoadIsBounded(t *testing.T) {
	l := decodeLoad(&controlpb.ServerLoad{
		RunningMicros: math.MaxUint64,
		Queued: []*controlpb.PriorityWork{
			{
				Priority:   math.MaxUint32,
				WorkMicros: math.MaxUint64,
			},
		},
		Routes: []*controlpb.RouteCost{
			{
				Port: 1 << 16,
			},
		},
	})
	require.Equal(t, maxWork, l.Rest)
	require.Equal(t, maxWork, l.Queued[0].Work)
	require.Equal(t, routing.Priority(math.MaxUint8), l.Queued[0].Priority)
	require.Empty(t, l.Routes)
}

// TestReportIsBounded guards against control traffic that grows with the routes of a service. The
// routes with the most work are kept.
func TestReportIsBounded(t *testing.T) {
	l := cost.Load{
		Running: 5,
		Rest:    200 * time.Millisecond,
	}
	for i := range maxRouteCosts {
		l.Queued = append(l.Queued, cost.PriorityWork{
			Priority: routing.Priority(i),
			Work:     time.Second,
			Requests: 40,
		})
		l.Routes = append(l.Routes, cost.RouteCost{
			Route: routing.Address{
				Host: 0xc6120001 + uint32(i),
				Port: 30443,
			},
			Mean:            44 * time.Millisecond,
			P50:             40 * time.Millisecond,
			P90:             300 * time.Millisecond,
			P99:             310 * time.Millisecond,
			Samples:         3000,
			RequestsPerFlow: 20,
			ResponseBytes:   40_000,
		})
	}
	d := encodeReport(director.Member{
		Name:        "side-muenchen-a-12345",
		Service:     "liedlive-1",
		Domain:      "muenchen-a",
		Incarnation: 1_800_000_000_000_000,
		Sequence:    1_000_000,
	}, holder.Report{
		HasLoad: true,
		Load:    l,
	})
	require.LessOrEqual(t, sizeOf(t, d)-headerBytes, maxReportBytes)
	routes := decodeLoad(d.GetReport().GetLoad()).Routes
	require.Equal(t, l.Routes[:len(routes)], routes)
	require.GreaterOrEqual(t, len(routes), 5)
}
