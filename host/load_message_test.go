package host

import (
	"math"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/cost"
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
			},
		},
	}
	require.Equal(t, l, decodeLoad(encodeLoad(l)))
	require.Nil(t, encodeLoad(cost.Load{}), "a report without a load must not grow")
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
