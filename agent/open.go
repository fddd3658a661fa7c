package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// placeFlow chooses the target of a new flow. Only the home of the flow does
// so.
func (m *Model) placeFlow(now time.Time, x PacketMsg, p *placement) {
	id, ok := m.chooseTarget(now, p)
	switch {
	case !ok:
		m.refuse(x)
	case id == m.config.Self:
		delete(m.placements, x.Inner.Key)
		m.admitLocally(now, x)
	default:
		m.offer(now, x, p, id)
	}
}

// admitLocally admits a new flow at this target. The caller has checked that
// there is room.
func (m *Model) admitLocally(now time.Time, x PacketMsg) {
	if !m.gate.Admit(now) {
		m.refuse(x)
		return
	}
	m.stats.Admitted++
	m.flows[x.Inner.Key] = &localFlow{
		state: flowOpen,
	}
	m.emit(DeliverEffect{
		Data: x.Data,
	})
}

// offer asks a peer to admit a new flow. Offers and replies travel in order on
// the control connection, so a repeated or late packet cannot open a flow twice.
func (m *Model) offer(now time.Time, x PacketMsg, p *placement, id target.ID) {
	p.offerTo(id)
	p.firstPacket = x
	m.placements[x.Inner.Key] = p
	m.peer(id, now).offered++
	m.stats.Placed++
	m.emit(ReserveEffect{
		To:     id,
		Key:    x.Inner.Key,
		Vector: m.table.Vector,
	})
}

// refuse resets a new flow at once, because no target with room was found.
func (m *Model) refuse(x PacketMsg) {
	delete(m.placements, x.Inner.Key)
	m.stats.Refused++
	if m.anyRoom() {
		m.stats.RefusedWithRoom++
	}
	m.reset(x)
}

// handleReserve replies to a home's request to admit a new flow.
func (m *Model) handleReserve(now time.Time, x ReserveMsg) {
	m.emit(ReservedEffect{
		To:       x.From,
		Key:      x.Key,
		Admitted: m.admitFor(now, x),
	})
}

func (m *Model) admitFor(now time.Time, x ReserveMsg) bool {
	if f := m.flows[x.Key]; f != nil && f.state != flowClosing {
		return true
	}
	h, ok := m.home(x.Key)
	if m.Vector().Covers(x.Vector) && (!ok || h.ID != x.From) {
		return false
	}
	if !m.admits() || !m.gate.Admit(now) {
		return false
	}
	m.stats.Admitted++
	m.flows[x.Key] = &localFlow{
		state:   flowReserved,
		expires: now.Add(reservationTimeout),
	}
	return true
}

// handleReserved handles a peer's reply to an offer.
func (m *Model) handleReserved(now time.Time, x ReservedMsg) {
	p := m.placements[x.Key]
	if p == nil || p.confirmed || p.target != x.From {
		m.handleLateReserved(now, x, p)
		return
	}
	if !x.Admitted {
		if q := m.peers[x.From]; q != nil {
			q.limit = min(q.limit, q.active)
		}
		delete(m.placements, x.Key)
		m.retry(now, p)
		return
	}
	p.confirmed = true
	first := p.firstPacket
	p.firstPacket = PacketMsg{}
	if t, ok := m.table.Find(x.From); ok {
		m.send(t, packet.KindDeliver, first)
	}
}

// handleLateReserved handles the reply to an offer that is no longer pending.
func (m *Model) handleLateReserved(now time.Time, x ReservedMsg, p *placement) {
	_, here := m.flows[x.Key]
	h, ok := m.home(x.Key)
	mine := ok && h.ID == m.config.Self
	switch {
	case !x.Admitted || !mine:
	case p == nil && !here:
		m.confirm(now, x.Key, x.From)
	case p == nil || p.target != x.From:
		m.emitRelease(x.From, x.Key)
	}
}

func (m *Model) emitRelease(to target.ID, k flow.Key) {
	m.emit(ReleaseEffect{
		To:  to,
		Key: k,
	})
}

// handleRelease aborts a flow that another target may hold, unless the caller has
// completed the handshake here.
func (m *Model) handleRelease(x ReleaseMsg) {
	f := m.flows[x.Key]
	switch {
	case f == nil || f.state == flowClosing:
	case f.established:
		m.sendRegister(x.From, []flow.Key{x.Key}, nil)
	default:
		m.abortFlow(x.Key)
	}
}

// abortFlow removes a local flow at once and resets its connection.
func (m *Model) abortFlow(k flow.Key) {
	if f := m.flows[k]; f != nil && f.state != flowClosing {
		m.gate.Release()
	}
	delete(m.flows, k)
	m.emit(EndFlowEffect{
		Key: k,
	})
}

// retry offers a flow to another target after a refusal. If the flow's home, or
// what is known of the peers' flows, has changed in the meantime, the packet is
// routed anew.
func (m *Model) retry(now time.Time, p *placement) {
	h, ok := m.home(p.firstPacket.Inner.Key)
	if ok && h.ID == m.config.Self && !m.behind() && m.mayOpen(now) {
		m.placeFlow(now, p.firstPacket, p)
		return
	}
	m.routePacket(now, p.firstPacket)
}

// chooseTarget picks the target of a new flow: this one unless its utilisation
// exceeds that of the whole service, otherwise the less utilised of two peers
// drawn at random, weighted by their limits.
func (m *Model) chooseTarget(now time.Time, p *placement) (target.ID, bool) {
	selfRoom := m.admits() && m.gate.Active() < m.gate.Limit(now)
	use := m.utilisation(now)
	if selfRoom && use <= m.meanUtilisation(now)+localPlacementMargin {
		return m.config.Self, true
	}
	id, q := m.pickPeer(p)
	switch {
	case q != nil && (!selfRoom || q.utilisation() < use):
		return id, true
	case selfRoom:
		return m.config.Self, true
	}
	return "", false
}

// meanUtilisation returns the utilisation of all targets that take new flows,
// weighted by their limits.
func (m *Model) meanUtilisation(now time.Time) float64 {
	active := float64(m.gate.Active())
	limit := float64(m.limit(now))
	for i := range m.table.Targets {
		q := m.candidate(&m.table.Targets[i], nil)
		if q != nil {
			active += float64(q.active + q.offered)
			limit += float64(q.limit)
		}
	}
	if limit == 0 {
		return 1
	}
	return active / limit
}

// pickPeer draws two peers with room at random, weighted by their limits, and
// returns the less utilised one.
func (m *Model) pickPeer(p *placement) (target.ID, *peer) {
	if !p.canOffer() {
		return "", nil
	}
	var ids []target.ID
	total := uint64(0)
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if q := m.candidate(t, p); q != nil && q.hasRoom() {
			ids = append(ids, t.ID)
			total += uint64(q.limit)
		}
	}
	if total == 0 {
		return "", nil
	}
	a := m.pickWeighted(ids, total)
	b := m.pickWeighted(ids, total)
	if m.peers[b].utilisation() < m.peers[a].utilisation() {
		a = b
	}
	return a, m.peers[a]
}

func (m *Model) pickWeighted(ids []target.ID, total uint64) target.ID {
	n := m.rand.Uint64N(total)
	for _, id := range ids {
		l := uint64(m.peers[id].limit)
		if n < l {
			return id
		}
		n -= l
	}
	return ids[len(ids)-1]
}

// candidate returns the peer of a target that takes new flows and has not been
// asked yet, or nil.
func (m *Model) candidate(t *service.Target, p *placement) *peer {
	if t.ID == m.config.Self || !t.HomeEligible || t.Suspect || t.OutOfService {
		return nil
	}
	if p != nil && p.wasOfferedTo(t.ID) {
		return nil
	}
	q := m.peers[t.ID]
	if q == nil || q.limit == 0 {
		return nil
	}
	return q
}

func (m *Model) anyRoom() bool {
	for i := range m.table.Targets {
		if q := m.candidate(&m.table.Targets[i], nil); q != nil && q.hasRoom() {
			return true
		}
	}
	return false
}
