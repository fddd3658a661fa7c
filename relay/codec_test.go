package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

func ExampleAppendDeliver() {
	b := relay.AppendDeliver(nil, relay.DeliverHeader{
		Service: relay.NewServiceID("boards"),
	}, []byte("packet"))
	h, p, err := relay.ParseDeliver(b)
	fmt.Println(h.Service == relay.NewServiceID("boards"), string(p), err)
	// Output: true packet <nil>
}

func TestRejectAndControlRoundTrip(t *testing.T) {
	r, p, err := relay.ParseReject(relay.AppendReject(nil, 4, []byte("packet")))
	require.NoError(t, err)
	require.Equal(t, uint8(4), r)
	require.Equal(t, "packet", string(p))
	f := flow.Tuple{
		Caller:      1,
		Address:     2,
		CallerPort:  3,
		AddressPort: 4,
	}
	b, err := relay.AppendControl(nil, &controlpb.Datagram{
		Body: &controlpb.Datagram_Answer{
			Answer: &controlpb.FlowAnswer{
				Held: relay.EncodeFlows([]flow.Tuple{f}),
			},
		},
	})
	require.NoError(t, err)
	d, err := relay.ParseControl(b)
	require.NoError(t, err)
	require.Equal(t, []flow.Tuple{f}, relay.DecodeFlows(d.GetAnswer().GetHeld()))
}

// TestClassRoundTrip guards against an agent scheduling requests by another class than that
// of their route.
func TestClassRoundTrip(t *testing.T) {
	h := relay.DeliverHeader{
		Service: relay.NewServiceID("boards"),
		Class: routing.Class{
			Priority:  1,
			Objective: 400 * time.Millisecond,
			Timeout:   2 * time.Second,
		},
	}
	got, p, err := relay.ParseDeliver(relay.AppendDeliverClass(nil, h, []byte("packet")))
	require.NoError(t, err)
	require.Equal(t, h, got)
	require.Equal(t, "packet", string(p))
	got, _, err = relay.ParseDeliver(relay.AppendDeliver(nil, h, []byte("packet")))
	require.NoError(t, err)
	require.Equal(t, routing.DefaultPriority, got.Class.Priority)
}

// FuzzParse checks that arbitrary datagrams are parsed or rejected with ErrMalformed,
// and never cause a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte{0xd1, 0, 1, 2, 3, 4, 5})
	f.Add([]byte{0xd2})
	f.Add([]byte{0xd4, 0, 1, 2, 3, 1, 144, 1, 208, 7, 9})
	f.Add([]byte{0xd4, 0, 1})
	f.Add([]byte{0xd3, 0x0a, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, err := relay.ParseDeliver(b); err != nil {
			require.ErrorIs(t, err, relay.ErrMalformed)
		}
		if _, _, err := relay.ParseReject(b); err != nil {
			require.ErrorIs(t, err, relay.ErrMalformed)
		}
		if _, err := relay.ParseControl(b); err != nil {
			require.ErrorIs(t, err, relay.ErrMalformed)
		}
	})
}

// TestFlowsWithPortsOutOfRangeAreLeftOut guards against a malformed message being applied to
// another flow, whose port is the rest of the division by 65,536.
func TestFlowsWithPortsOutOfRangeAreLeftOut(t *testing.T) {
	good := flow.Tuple{
		Caller:      1,
		CallerPort:  4001,
		Address:     2,
		AddressPort: 443,
	}
	l := relay.EncodeFlows([]flow.Tuple{good, good, good})
	l[0].CallerPort += 1 << 16
	l[2].AddressPort += 1 << 16
	require.Equal(t, []flow.Tuple{good}, relay.DecodeFlows(l))
}
