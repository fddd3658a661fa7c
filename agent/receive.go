package agent

import (
	"net"
	"net/netip"

	"github.com/lentilshed/lentilshed/packet"
)

// readPackets reads packets from the socket until it is closed.
func (r *Runtime) readPackets() {
	defer r.wait.Done()
	b := make([]byte, packet.MaxSize+1)
	for {
		n, _, err := r.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if reason := r.readPacket(b[:n]); reason != packet.ReasonNone {
			r.drops[reason].Inc(1)
		}
	}
}

func (r *Runtime) readPacket(b []byte) packet.Reason {
	m, p, reason := r.codec.Decode(b)
	if reason != packet.ReasonNone {
		return reason
	}
	i, reason := packet.ParseInner(p)
	if reason != packet.ReasonNone {
		return reason
	}
	if m.Sampled {
		r.recordHop("agent.receive", &i, &m)
	}
	x := PacketMsg{
		Meta:  m,
		Inner: i,
		Data:  append([]byte(nil), p...),
	}
	select {
	case r.packets <- x:
		return packet.ReasonNone
	default:
		return packet.ReasonQueueFull
	}
}

// output sends a packet of the TCP stack directly to the fabric.
func (r *Runtime) output(b []byte) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	d, reason := r.outCodec.EncodePlain(b)
	if reason != packet.ReasonNone {
		return
	}
	_ = r.config.Send(r.socket, d, r.config.FabricAddress)
}

func writePacket(s *net.UDPConn, b []byte, to netip.AddrPort) error {
	_, err := s.WriteToUDPAddrPort(b, to)
	return err //nolint:wrapcheck // The caller only counts it.
}
