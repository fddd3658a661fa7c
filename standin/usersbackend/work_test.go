package usersbackend_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
	"github.com/stretchr/testify/require"
)

// TestSlotsAreLimited guards the checks of package soak against a stand-in that processes more
// requests at a time than it has slots, or answers a repeated request with other bytes.
func TestSlotsAreLimited(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.7.32:28165")
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.7.32:0")))
	require.NoError(t, err)
	defer func() { _ = u.Close() }()
	s, err := usersbackend.New(usersbackend.Config{
		Address:         address,
		Outbound:        netip.MustParseAddrPort(u.LocalAddr().String()),
		HeartbeatURL:    "http://127.0.7.32:28167",
		Slots:           2,
		RequestDuration: 100 * time.Millisecond,
	})
	require.NoError(t, err)
	defer s.Close()
	send := func(p segment.Segment) {
		_, err := u.WriteToUDPAddrPort(usersbackend.Encode(p, false), address)
		require.NoError(t, err)
	}
	receive := func() segment.Segment {
		b := make([]byte, 2048)
		require.NoError(t, u.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := u.Read(b)
		require.NoError(t, err)
		return usersbackend.Decode(b)
	}
	request := func(port uint16) segment.Segment {
		p := segment.Segment{
			Tuple: flow.Tuple{
				Caller:     1,
				CallerPort: port,
			},
			Flags: segment.Syn,
		}
		send(p)
		p.Flags = segment.Ack
		p.Sequence = 1
		p.Ack = receive().Sequence + 1
		p.Length = 60
		return p
	}
	requests := make([]segment.Segment, 16)
	for i := range requests {
		requests[i] = request(uint16(i + 1))
	}
	begin := time.Now()
	for _, p := range requests {
		send(p)
	}
	// Of 16 requests, 2 are processed, 12 wait, and 2 are shed at once.
	for i := range 2 {
		p := receive()
		require.True(t, usersbackend.ErrorResponse(p))
		require.Equal(t, requests[14+i].Tuple, p.Tuple)
	}
	require.Zero(t, s.FreeFor())
	responses := map[flow.Tuple]segment.Segment{}
	for range 14 {
		p := receive()
		require.False(t, usersbackend.ErrorResponse(p))
		responses[p.Tuple] = p
	}
	require.GreaterOrEqual(t, time.Since(begin), 700*time.Millisecond)
	require.Eventually(t, func() bool { return s.FreeFor() > 0 }, time.Second, time.Millisecond)
	send(requests[0])
	require.Equal(t, responses[requests[0].Tuple], receive())
}
