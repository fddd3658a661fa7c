package balancer

import (
	"net"
	"net/netip"

	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
)

const socketBufferSize = 4 << 20

// dropCounters counts dropped packets by reason.
type dropCounters [packet.ReasonCount]tally.Counter

func newDropCounters(s tally.Scope) dropCounters {
	var d dropCounters
	for i := range d {
		d[i] = s.Tagged(map[string]string{"reason": packet.Reason(i).String()}).Counter("packets_dropped")
	}
	return d
}

// forward reads packets from the fabric and sends each to the agent that is home
// of its flow, or drops it and counts the reason.
func (r *Runtime) forward() {
	defer r.wait.Done()
	c := packet.NewCodec()
	b := make([]byte, packet.MaxSize+1)
	sent := r.config.Scope.Counter("packets_forwarded")
	for {
		n, _, err := r.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if reason := r.forwardOne(c, b[:n]); reason != packet.ReasonNone {
			r.drops[reason].Inc(1)
			continue
		}
		sent.Inc(1)
	}
}

func (r *Runtime) forwardOne(c *packet.Codec, b []byte) packet.Reason {
	out, to, reason := Forward(c, r.routes.Load(), r.config.Tracer, b)
	if reason != packet.ReasonNone {
		return reason
	}
	if err := r.config.Send(r.socket, out, to); err != nil {
		return packet.ReasonSendFailed
	}
	return packet.ReasonNone
}

// Forward turns a datagram from the fabric into the datagram for the next hop, or
// returns the reason to drop it. The result is valid until the codec is used again.
// Forward does not allocate for flows that are not sampled.
func Forward(c *packet.Codec, r *Routes, t *telemetry.Tracer, b []byte) ([]byte, netip.AddrPort, packet.Reason) {
	p, reason := c.DecodePlain(b)
	if reason != packet.ReasonNone {
		return nil, netip.AddrPort{}, reason
	}
	i, reason := packet.ParseInner(p)
	if reason != packet.ReasonNone {
		return nil, netip.AddrPort{}, reason
	}
	h, reason := r.Route(&i)
	if reason != packet.ReasonNone {
		return nil, netip.AddrPort{}, reason
	}
	if t != nil {
		recordHop(t, &i, &h)
	}
	out, reason := c.Encode(&h.Meta, p)
	return out, h.Address, reason
}

func recordHop(t *telemetry.Tracer, i *packet.Inner, h *Hop) {
	n := i.Key.TraceID(h.Meta.Service)
	if !t.Sampled(n) {
		return
	}
	h.Meta.Sampled = true
	t.RecordHop(n, "balancer.route", attribute.String("flow", i.Key.String()), attribute.String("next_hop", h.Address.String()))
}

func writeDatagram(s *net.UDPConn, b []byte, to netip.AddrPort) error {
	_, err := s.WriteToUDPAddrPort(b, to)
	return err //nolint:wrapcheck // The caller only counts it.
}
