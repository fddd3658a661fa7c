package packet

import (
	"net/netip"
	"testing"

	"github.com/lentilshed/lentilshed/service"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

func testPacket() []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize+5)
	header.IPv4(b).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4([4]byte{100, 64, 0, 7}),
		DstAddr:     tcpip.AddrFrom4([4]byte{10, 80, 0, 1}),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort:    40112,
		DstPort:    7000,
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagSyn,
	})
	return b
}

func TestRoundTrip(t *testing.T) {
	c := NewCodec()
	m := Meta{
		Kind:    KindDeliver,
		Hops:    3,
		Sampled: true,
		Service: 7,
		Vector: service.Vector{
			Intent: 9,
			Roster: 1<<32 + 5,
		},
	}
	d, r := c.Encode(&m, testPacket())
	require.Equal(t, ReasonNone, r)
	got, inner, r := NewCodec().Decode(d)
	require.Equal(t, ReasonNone, r)
	require.Equal(t, m, got)
	require.Equal(t, testPacket(), inner)
	i, r := ParseInner(inner)
	require.Equal(t, ReasonNone, r)
	require.True(t, i.Initial())
	require.Equal(t, netip.MustParseAddrPort("100.64.0.7:40112"), i.Key.AddrPort())
	require.Equal(t, netip.MustParseAddrPort("10.80.0.1:7000"), i.Destination)
}

// TestBadPackets checks that each kind of bad packet is rejected with the expected
// reason.
func TestBadPackets(t *testing.T) {
	plain := func(change func(b []byte) []byte) []byte {
		d, r := NewCodec().EncodePlain(testPacket())
		require.Equal(t, ReasonNone, r)
		return change(append([]byte(nil), d...))
	}
	cases := []struct {
		name   string
		data   []byte
		reason Reason
	}{
		{"empty", nil, ReasonTruncated},
		{"short header", []byte{0, 0, 8}, ReasonTruncated},
		{"oversized", make([]byte, MaxSize+1), ReasonOversized},
		{"long options", plain(func(b []byte) []byte { b[0] = 0x3f; return b }), ReasonMalformed},
		{"version", plain(func(b []byte) []byte { b[0] = 0x40; return b }), ReasonMalformed},
		{"IPv6 inside", plain(func(b []byte) []byte { b[2], b[3] = 0x86, 0xdd; return b }), ReasonUnsupportedProtocol},
		{"UDP inside", plain(func(b []byte) []byte { b[8+9] = 17; return b }), ReasonUnsupportedProtocol},
		{"truncated inside", plain(func(b []byte) []byte { return b[:30] }), ReasonTruncated},
		{"fragment", plain(func(b []byte) []byte { b[8+6] = 0x20; return b }), ReasonMalformed},
		{"TCP offset", plain(func(b []byte) []byte { b[8+20+12] = 0xf0; return b }), ReasonMalformed},
	}
	for _, c := range cases {
		p, r := NewCodec().DecodePlain(c.data)
		if r == ReasonNone {
			_, r = ParseInner(p)
		}
		require.Equal(t, c.reason, r, c.name)
	}
}

func FuzzDecode(f *testing.F) {
	d, _ := NewCodec().EncodePlain(testPacket())
	f.Add(append([]byte(nil), d...))
	m, _ := NewCodec().Encode(&Meta{Kind: KindForward}, testPacket())
	f.Add(append([]byte(nil), m...))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := NewCodec()
		if p, r := c.DecodePlain(b); r == ReasonNone {
			_, _ = ParseInner(p)
		}
		if _, p, r := c.Decode(b); r == ReasonNone && len(p) > len(b) {
			t.Fatal("payload is longer than the packet")
		}
	})
}
