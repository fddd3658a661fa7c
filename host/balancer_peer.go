package host

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/relay"
)

// fromPeer handles a datagram of an agent or of another balancer.
func (b *Balancer) fromPeer(from netip.AddrPort, p []byte) {
	if len(p) == 0 {
		return
	}
	switch relay.Kind(p[0]) {
	case relay.KindReject:
		b.fromRejection(from, p)
	case relay.KindControl:
		b.fromControl(from, p)
	}
}

func (b *Balancer) fromRejection(from netip.AddrPort, p []byte) {
	reason, data, err := relay.ParseReject(p)
	if err != nil {
		return
	}
	s, err := b.config.Codec.DecodeFromCaller(data)
	if err != nil {
		return
	}
	b.config.hop(s.Tuple, hopRejected)
	b.update(director.RejectMsg{
		From:    from,
		Reason:  holder.RejectReason(reason),
		Segment: s,
		Data:    data,
	})
}

func (b *Balancer) fromControl(from netip.AddrPort, p []byte) {
	d, err := relay.ParseControl(p)
	if err != nil {
		b.config.Log(LogEvent{
			Event: "control datagram cannot be parsed and was dropped",
			Err:   err,
		})
		return
	}
	switch x := d.GetBody().(type) {
	case *controlpb.Datagram_Report:
		b.update(decodeReport(from, x.Report))
	case *controlpb.Datagram_Answer:
		b.update(decodeReply(from, x.Answer))
	case *controlpb.Datagram_Handover:
		b.update(decodeHandover(from, x.Handover))
	case *controlpb.Datagram_HandoverRequest:
		b.update(director.HandoverRequestMsg{
			From: from,
		})
	case *controlpb.Datagram_ConfigCheck:
		b.update(director.ConfigCheckMsg{
			From:    from,
			Version: x.ConfigCheck.GetConfigVersion(),
		})
	case *controlpb.Datagram_Digest:
		b.updateFreshness(decodeDigest(from, x.Digest))
	}
}

func (b *Balancer) sendControl(d *controlpb.Datagram, to netip.AddrPort) {
	out, err := relay.AppendControl(b.buffer[:0], d)
	if err != nil {
		b.config.Log(LogEvent{
			Event: "control datagram was not sent",
			Err:   err,
		})
		return
	}
	b.buffer = out
	b.send(b.peer, to)
}
