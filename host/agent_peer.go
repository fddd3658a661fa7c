package host

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/relay"
)

// fromPeer takes a datagram of a balancer.
func (a *Agent) fromPeer(from netip.AddrPort, p []byte) {
	if len(p) == 0 {
		return
	}
	switch relay.Kind(p[0]) {
	case relay.KindDeliver:
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
		a.failed("control datagram was dropped", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch x := d.GetBody().(type) {
	case *controlpb.Datagram_Solicit:
		a.apply(now, solicitMsg(from, x.Solicit))
	case *controlpb.Datagram_Query:
		a.apply(now, queryMsg(from, x.Query))
	}
}

// perform does what the model decided. The lock is held.
func (a *Agent) perform(now time.Time, e holder.Effect) {
	switch x := e.(type) {
	case holder.ToBackendEffect:
		a.send(a.outbound, x.Data, a.config.Backend.Address)
	case holder.ToCallerEffect:
		a.send(a.peer, x.Data, callerAddress(x.Segment.Tuple, a.config.PeerAddress.Port()))
	case holder.ResetEffect:
		a.config.hop(x.Tuple, hopEnded)
		a.out = a.config.Codec.AppendReset(a.out[:0], x.Tuple, x.Sequence)
		a.send(a.peer, a.out, callerAddress(x.Tuple, a.config.PeerAddress.Port()))
		a.config.Log(LogEvent{
			Event: "flow is reset: " + string(x.Cause),
			Flow:  x.Tuple,
		})
	case holder.RejectEffect:
		a.config.Codec.Restore(x.Data)
		a.out = relay.AppendReject(a.out[:0], uint8(x.Reason), x.Data)
		a.send(a.peer, a.out, x.To)
	case holder.ReplyEffect:
		a.answer(x)
	case holder.ReportEffect:
		a.report(now, x.To)
	case holder.RecordEffect:
		select {
		case a.lives <- x.Incarnation:
		default:
			a.failed("backend server starts too often to be recorded", nil)
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

func (a *Agent) answer(x holder.ReplyEffect) {
	out, err := relay.AppendControl(a.out[:0], answerOf(x))
	if err != nil {
		a.failed("answer was not sent", err)
		return
	}
	a.out = out
	a.send(a.peer, a.out, x.To)
}

// probe asks the backend server in a goroutine of its own, one at a time.
func (a *Agent) probe(health bool) {
	if a.probing.Swap(true) {
		return
	}
	path := ""
	if p := a.healthPath.Load(); health && p != nil {
		path = *p
	}
	a.wait.Go(func() {
		r := probe(a.config.Backend.Address, path)
		a.probing.Store(false)
		a.update(holder.ProbeMsg{
			Result: r,
		})
	})
}
