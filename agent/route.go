package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// routePacket decides what happens to one packet.
func (m *Model) routePacket(now time.Time, x PacketMsg) {
	if r := m.checkPacket(x); r != packet.ReasonNone {
		m.drop(r)
		return
	}
	if m.deliverLocal(x) {
		return
	}
	if x.Meta.Kind == packet.KindDeliver {
		m.rejectUnheld(x)
		return
	}
	m.forward(now, x)
}

// checkPacket rejects packets of other services and packets that this agent
// must not handle.
func (m *Model) checkPacket(x PacketMsg) packet.Reason {
	switch {
	case m.table == nil || m.fenced:
		return packet.ReasonFenced
	case x.Meta.Service != m.table.ID || x.Inner.Destination != m.table.Address:
		return packet.ReasonWrongService
	case m.self != nil && m.self.OutOfService:
		return packet.ReasonOutOfService
	case x.Meta.Hops > packet.MaxHops:
		return packet.ReasonHopLimit
	}
	return packet.ReasonNone
}

// deliverLocal delivers a packet of a flow that this agent holds, and reports
// whether it does.
func (m *Model) deliverLocal(x PacketMsg) bool {
	f := m.flows[x.Inner.Key]
	if f == nil {
		return false
	}
	if f.state == flowClosing && x.Inner.Initial() {
		delete(m.flows, x.Inner.Key)
		return false
	}
	if f.state == flowReserved && x.Inner.Initial() {
		f.state = flowOpen
	}
	m.emit(DeliverEffect{
		Data: x.Data,
	})
	return true
}

// rejectUnheld drops a packet of a flow that this agent does not hold, and
// notifies the flow's home.
func (m *Model) rejectUnheld(x PacketMsg) {
	if h, ok := m.home(x.Inner.Key); ok && h.ID != m.config.Self {
		m.sendRegister(h.ID, nil, []flow.Key{x.Inner.Key})
	}
	m.drop(packet.ReasonUnsynced)
}

// forward handles a packet of a flow that this agent does not hold.
func (m *Model) forward(now time.Time, x PacketMsg) {
	if !m.table.Vector.Covers(x.Meta.Vector) {
		m.emit(RequestTableEffect{})
		m.hold(now, x)
		return
	}
	h, ok := m.home(x.Inner.Key)
	switch {
	case !ok:
		m.noTarget(x)
	case h.ID != m.config.Self:
		m.send(h, packet.KindForward, x)
	default:
		m.routeAsHome(now, x)
	}
}

// routeAsHome handles a packet as the home of its flow.
func (m *Model) routeAsHome(now time.Time, x PacketMsg) {
	if p := m.placements[x.Inner.Key]; p != nil {
		m.routePlaced(now, x, p)
		return
	}
	switch {
	case m.behind():
		m.hold(now, x)
	case x.Inner.Initial() && m.mayOpen(now):
		m.placeFlow(now, x, &placement{})
	case x.Inner.Initial() || !m.allSynced():
		m.hold(now, x)
	default:
		m.resetUnknown(x)
	}
}

// routePlaced handles a packet of a flow that a peer holds or was offered.
func (m *Model) routePlaced(now time.Time, x PacketMsg, p *placement) {
	t, ok := m.table.Find(p.target)
	switch {
	case ok && !t.OutOfService && p.confirmed:
		m.send(t, packet.KindDeliver, x)
		return
	case ok && !t.OutOfService:
		m.drop(packet.ReasonUnsynced)
		return
	}
	delete(m.placements, x.Inner.Key)
	if x.Inner.Initial() {
		m.placeFlow(now, x, &placement{})
		return
	}
	m.stats.ResetOutOfService++
	m.reset(x)
}

// resetUnknown resets a flow that no target in service is known to hold.
func (m *Model) resetUnknown(x PacketMsg) {
	if x.Inner.Reset() {
		m.drop(packet.ReasonUnsynced)
		return
	}
	m.stats.ResetUnknown++
	m.reset(x)
}

func (m *Model) noTarget(x PacketMsg) {
	if x.Inner.Initial() {
		m.stats.Refused++
		m.reset(x)
		return
	}
	m.drop(packet.ReasonNoTarget)
}

func (m *Model) reset(x PacketMsg) {
	if x.Inner.Reset() {
		return
	}
	m.emit(ResetEffect{
		Data: x.Data,
	})
}

func (m *Model) hold(now time.Time, x PacketMsg) {
	if !m.held.push(x, now) {
		m.drop(packet.ReasonQueueFull)
	}
}

// flushHeld routes held packets again and drops the expired ones.
func (m *Model) flushHeld(now time.Time) {
	for _, p := range m.held.take() {
		if now.After(p.expires) {
			m.drop(packet.ReasonUnsynced)
			continue
		}
		m.routePacket(now, p)
	}
}

func (m *Model) send(t *service.Target, k packet.Kind, x PacketMsg) {
	if t.OutOfService {
		m.drop(packet.ReasonOutOfService)
		return
	}
	meta := x.Meta
	meta.Kind = k
	meta.Hops++
	meta.Vector = m.table.Vector
	m.emit(ForwardEffect{
		To:   t.ID,
		Meta: meta,
		Data: x.Data,
	})
}

func (m *Model) sendRegister(to target.ID, opened, ended []flow.Key) {
	m.stats.FlowKeysSent += uint64(len(opened) + len(ended))
	m.emit(RegisterEffect{
		To:     to,
		Opened: opened,
		Ended:  ended,
	})
}
