package balancer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// datagram returns a packet from the fabric for one flow and destination.
func datagram(flow uint32, to netip.AddrPort) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize+64)
	header.IPv4(b).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4([4]byte{100, 64, byte(flow >> 24), byte(flow >> 16)}),
		DstAddr:     tcpip.AddrFrom4(to.Addr().As4()),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort:    uint16(flow),
		DstPort:    to.Port(),
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagAck,
	})
	d, _ := packet.NewCodec().EncodePlain(b)
	return append([]byte(nil), d...)
}

// routesOf returns routes for a number of targets, in services of at most 4.
func routesOf(targets int) *Routes {
	const each = 4
	tables := map[string]*service.Table{}
	for n := 0; n*each < targets; n++ {
		var l []service.Target
		for i := n * each; i < min(targets, (n+1)*each); i++ {
			l = append(l, service.Target{
				ID:            target.ID(fmt.Sprintf("t%d", i)),
				PacketAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6081),
				Weight:        100,
				HomeEligible:  true,
			})
		}
		a := serviceAddress(n)
		name := fmt.Sprint("s", n)
		tables[name] = service.NewTable(name, uint32(n+1), a, service.Vector{}, l)
	}
	return NewRoutes(tables, false)
}

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, byte(n >> 8), byte(n)}), 7000)
}

func TestForwardKeepsServicesApart(t *testing.T) {
	r := routesOf(11)
	c := packet.NewCodec()
	for n := range 3 {
		for f := range uint32(200) {
			d, to, reason := Forward(c, r, nil, datagram(f<<16|f, serviceAddress(n)))
			require.Equal(t, packet.ReasonNone, reason)
			m, _, reason := packet.NewCodec().Decode(d)
			require.Equal(t, packet.ReasonNone, reason)
			require.Equal(t, uint32(n+1), m.Service)
			i := int(to.Addr().As4()[3])
			require.Equal(t, n, i/4, "target of another service")
		}
	}
	_, _, reason := Forward(c, r, nil, datagram(1, serviceAddress(9)))
	require.Equal(t, packet.ReasonNoService, reason)
}

func TestForwardDoesNotAllocate(t *testing.T) {
	r := routesOf(11)
	c := packet.NewCodec()
	d := datagram(5, serviceAddress(1))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		Forward(c, r, nil, d)
	}))
}

func TestStoppedRoutesDropEverything(t *testing.T) {
	r := NewRoutes(nil, true)
	_, _, reason := Forward(packet.NewCodec(), r, nil, datagram(5, serviceAddress(1)))
	require.Equal(t, packet.ReasonFenced, reason)
}

// BenchmarkForward measures the forwarding of one packet for growing numbers of
// flows and targets. The flow numbers of its 4096 packets are spread over the number
// of flows; with 1000 flows they are all zero. The balancer keeps no state per flow.
func BenchmarkForward(b *testing.B) {
	for _, n := range []struct{ flows, targets int }{
		{1_000, 11}, {1_000_000, 11}, {1_000, 150_000}, {1_000_000, 150_000},
	} {
		b.Run(fmt.Sprintf("flows=%d/targets=%d", n.flows, n.targets), func(b *testing.B) {
			r := routesOf(n.targets)
			c := packet.NewCodec()
			d := make([][]byte, 4096)
			services := (n.targets + 3) / 4
			for i := range d {
				f := uint32(i * (n.flows / len(d)))
				d[i] = datagram(f*2654435761, serviceAddress(i*7919%services))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				Forward(c, r, nil, d[i&4095])
			}
		})
	}
}
