package host

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/relay"
)

func (b *Balancer) fromFabric(_ netip.AddrPort, p []byte) {
	s, err := b.config.Codec.DecodeFromCaller(p)
	if err != nil {
		return
	}
	b.packetCount.Add(1)
	b.config.hop(s.Tuple, hopFabric)
	b.update(director.PacketMsg{
		Segment: s,
		Data:    p,
	})
}

func (b *Balancer) update(m director.Msg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(m)
}

// apply passes a message to the model and performs its effects. The caller holds the
// lock.
func (b *Balancer) apply(m director.Msg) {
	for _, e := range b.model.Update(time.Now(), m) {
		b.perform(e)
	}
	if b.model.QueriesPending() && !b.flushing {
		b.flushing = true
		time.AfterFunc(flushDelay, b.flush)
	}
}

func (b *Balancer) flush() {
	b.mu.Lock()
	b.flushing = false
	b.mu.Unlock()
	b.update(director.FlushMsg{})
}

// perform performs an effect of the model. The caller holds the lock.
func (b *Balancer) perform(e director.Effect) {
	switch x := e.(type) {
	case director.DeliverEffect:
		h := relay.DeliverHeader{
			Service: relay.NewServiceID(x.Service),
			Class:   x.Class,
		}
		if x.Classified {
			b.buffer = relay.AppendDeliverClass(b.buffer[:0], h, x.Data)
		} else {
			b.buffer = relay.AppendDeliver(b.buffer[:0], h, x.Data)
		}
		b.send(b.peer, x.To)
	case director.ResetEffect:
		b.config.hop(x.Tuple, hopBalancerReset)
		b.buffer = b.config.Codec.AppendReset(b.buffer[:0], x.Tuple, x.Sequence)
		b.send(b.packets, callerAddress(x.Tuple, b.config.PacketAddress.Port()))
		b.config.Log(LogEvent{
			Event:   "flow is reset: " + string(x.Cause),
			Flow:    x.Tuple,
			Count:   x.Agents,
			Version: uint64(b.model.Version()),
		})
	case director.QueryEffect:
		b.sendControl(encodeQuery(x.Flows), x.To)
	case director.HintsEffect:
		b.sendControl(encodeHints(x), x.To)
	case director.ReportRequestEffect:
		b.sendControl(encodeReportRequest(b.model.Declared(), x), x.To)
	case director.ListEffect:
		b.requestRead(freshness.KindAgents)
	case director.LogEffect:
		b.config.Log(LogEvent{
			Event: x.Event,
			Flow:  x.Flow,
			Name:  x.Member,
			Count: x.Count,
		})
	}
}

func (b *Balancer) send(s *socket, to netip.AddrPort) {
	if err := s.send(b.buffer, to); err != nil {
		b.config.Log(LogEvent{
			Event: "datagram was not sent",
			Err:   err,
		})
	}
}
