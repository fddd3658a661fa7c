package host

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/relay"
)

// fromPeer handles a datagram of a balancer.
func (a *Agent) fromPeer(from netip.AddrPort, p []byte) {
	if len(p) == 0 {
		return
	}
	switch relay.Kind(p[0]) {
	case relay.KindDeliver, relay.KindDeliverClass:
		a.fromBalancer(from, p)
	case relay.KindControl:
		a.fromControl(from, p)
	}
}

func (a *Agent) fromBalancer(from netip.AddrPort, p []byte) {
	h, data, err := relay.ParseDeliver(p)
	if err != nil {
		return
	}
	s, err := a.config.Codec.DecodeFromCaller(data)
	if err != nil {
		return
	}
	a.config.hop(s.Tuple, hopBalancer)
	m := holder.DeliverMsg{
		From:    from,
		Class:   h.Class,
		Segment: s,
		Data:    data,
	}
	if h.Service == a.service {
		m.Service = a.config.Backend.Service
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.apply(now, m)
}

func (a *Agent) fromControl(from netip.AddrPort, p []byte) {
	d, err := relay.ParseControl(p)
	if err != nil {
		a.logError("control datagram cannot be parsed and was dropped", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch x := d.GetBody().(type) {
	case *controlpb.Datagram_Solicit:
		a.apply(now, decodeReportRequest(from, x.Solicit))
	case *controlpb.Datagram_Hints:
		a.apply(now, decodeHints(x.Hints))
	case *controlpb.Datagram_Query:
		a.apply(now, decodeQuery(from, x.Query))
	}
}

// perform performs an effect of the model. The caller holds the lock.
func (a *Agent) perform(now time.Time, e holder.Effect) {
	switch x := e.(type) {
	case holder.ToBackendEffect:
		a.send(a.outbound, x.Data, a.config.Backend.Address)
	case holder.ToCallerEffect:
		a.send(a.peer, x.Data, callerAddress(x.Segment.Tuple, a.config.PeerAddress.Port()))
	case holder.ResetEffect:
		a.config.hop(x.Tuple, hopAgentReset)
		a.buffer = a.config.Codec.AppendReset(a.buffer[:0], x.Tuple, x.Sequence)
		a.send(a.peer, a.buffer, callerAddress(x.Tuple, a.config.PeerAddress.Port()))
		a.config.Log(LogEvent{
			Event: "flow is reset: " + string(x.Cause),
			Flow:  x.Tuple,
		})
	case holder.RejectEffect:
		a.config.Codec.Restore(x.Data)
		a.buffer = relay.AppendReject(a.buffer[:0], uint8(x.Reason), x.Data)
		a.send(a.peer, a.buffer, x.To)
	case holder.ReplyEffect:
		a.sendControl(encodeReply(x), []netip.AddrPort{x.To})
	case holder.ReportEffect:
		a.sendReport(now, x)
	case holder.ConfigCheckEffect:
		a.sendControl(encodeConfigCheck(x), []netip.AddrPort{x.To})
	case holder.HandoverEffect:
		a.sendControl(encodeHandover(x), x.To)
	case holder.HandoverRequestEffect:
		a.sendControl(handoverRequest(), x.To)
	case holder.RecordEffect:
		select {
		case a.incarnations <- x.Incarnation:
		default:
			a.logError("incarnation of the backend server was not recorded: too many are waiting", nil)
		}
	case holder.ProbeEffect:
		a.probe(x.Health)
	case holder.LogEffect:
		a.config.Log(LogEvent{
			Event: x.Event,
			Count: x.Count,
		})
	}
}

// sendControl sends a control datagram to some balancers. The caller holds the lock.
func (a *Agent) sendControl(d *controlpb.Datagram, to []netip.AddrPort) {
	out, err := relay.AppendControl(a.buffer[:0], d)
	if err != nil {
		a.logError("control datagram was not sent", err)
		return
	}
	a.buffer = out
	for _, x := range to {
		a.send(a.peer, a.buffer, x)
	}
}

// probe probes the backend server in a separate goroutine, one at a time.
func (a *Agent) probe(health bool) {
	if a.probing.Swap(true) {
		return
	}
	path := ""
	if p := a.healthPath.Load(); health && p != nil {
		path = *p
	}
	a.goroutines.Go(func() {
		r := probeBackend(a.config.Backend.Address, path)
		a.probing.Store(false)
		a.update(holder.ProbeMsg{
			Result: r,
		})
	})
}
