package routing_test

import (
	"encoding/json"
	"testing"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

func TestSplitFollowsWeights(t *testing.T) {
	r := routing.Route{
		Shares: []routing.Share{
			{
				Service: "boards",
				Weight:  90,
			},
			{
				Service: "layouts",
				Weight:  10,
			},
			{
				Service: "resting",
			},
		},
	}
	got := map[string]int{}
	for i := range uint16(20_000) {
		s, ok := r.Service(flow.Tuple{
			Caller:     0x64400001,
			CallerPort: i,
		})
		require.True(t, ok)
		got[s]++
	}
	require.InDelta(t, 18_000, got["boards"], 300)
	require.Zero(t, got["resting"])
	require.True(t, r.Includes("resting"), "open flows of a service without weight stay there")
	require.False(t, r.Opens("resting"))
	require.True(t, r.Opens("layouts"))
	_, ok := routing.Route{}.Service(flow.Tuple{})
	require.False(t, ok)
}

func TestConfigRoundTripsThroughJSON(t *testing.T) {
	c := &routing.Config{
		Version: 7,
		Routes: map[routing.Address]routing.Route{
			{
				Host: 0xc6120001,
				Port: 443,
			}: {
				Name: "r",
			},
		},
	}
	b, err := json.Marshal(c)
	require.NoError(t, err)
	var d *routing.Config
	require.NoError(t, json.Unmarshal(b, &d))
	require.Equal(t, c, d)
	var a routing.Address
	require.ErrorIs(t, a.UnmarshalText([]byte("[::1]:80")), routing.ErrNotIPv4)
	require.Error(t, a.UnmarshalText([]byte("198.18.0.1")))
}
