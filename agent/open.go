package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// open finds a place for a new flow, as its home.
func (m *Model) open(now time.Time, x PacketMsg, p *placement) {
	id, ok := m.choose(now, p)
	switch {
	case !ok:
		m.refuse(x)
	case id == m.config.Self:
		delete(m.away, x.Inner.Key)
		m.admit(now, x)
	default:
		m.placeAt(now, x, p, id)
	}
}

// admit takes a new flow here. The caller has checked that there is room.
func (m *Model) admit(now time.Time, x PacketMsg) bool {
	if !m.admits() || !m.gate.Admit(now) {
		return false
	}
	m.stats.Admitted++
	m.flows[x.Inner.Key] = &localFlow{}
	m.emit(DeliverEffect{
		Data: x.Data,
	})
	return true
}

func (m *Model) placeAt(now time.Time, x PacketMsg, p *placement, id target.ID) {
	t, ok := m.table.Find(id)
	if !ok {
		m.refuse(x)
		return
	}
	p.ask(id, now)
	m.away[x.Inner.Key] = p
	m.peer(id, now).placed++
	m.stats.Placed++
	m.send(t, packet.KindPlace, x)
}

// refuse tells the caller at once that the service has no room.
func (m *Model) refuse(x PacketMsg) {
	delete(m.away, x.Inner.Key)
	m.stats.Refused++
	if m.anyRoom() {
		m.stats.RefusedWithRoom++
	}
	m.reset(x)
}

// place takes a new flow for the home that sent it, or sends it back.
func (m *Model) place(now time.Time, x PacketMsg) {
	h, ok := m.home(x.Inner.Key)
	if !ok {
		m.noTarget(x)
		return
	}
	newer := m.table.Vector.Covers(x.Meta.Vector) && m.table.Vector != x.Meta.Vector
	if newer || h.ID == m.config.Self {
		m.forward(now, x)
		return
	}
	if !m.admit(now, x) {
		m.send(h, packet.KindRefused, x)
		return
	}
	m.sendRegister(h.ID, []flow.Key{x.Inner.Key}, nil)
}

// refused offers a flow that a peer sent back to another one.
func (m *Model) refused(now time.Time, x PacketMsg) {
	p := m.away[x.Inner.Key]
	if p == nil {
		p = &placement{}
	}
	if p.confirmed {
		m.decidePlaced(now, x, p)
		return
	}
	if q := m.peers[p.target]; q != nil {
		q.limit = min(q.limit, q.active)
	}
	m.open(now, x, p)
}

// choose picks the target of a new flow: this one unless it is fuller than the
// service as a whole, else the emptier of two peers drawn by their limits.
func (m *Model) choose(now time.Time, p *placement) (target.ID, bool) {
	selfRoom := m.admits() && m.gate.Active() < m.gate.Limit(now)
	use := m.use(now)
	if selfRoom && use <= m.meanUse(now)+spillSlack {
		return m.config.Self, true
	}
	id, q := m.drawPeer(p)
	switch {
	case q != nil && (!selfRoom || q.use() < use):
		return id, true
	case selfRoom:
		return m.config.Self, true
	}
	return "", false
}

// meanUse is the use of all targets that take flows, weighted by their limits.
func (m *Model) meanUse(now time.Time) float64 {
	active := float64(m.gate.Active())
	limit := float64(m.limit(now))
	for i := range m.table.Targets {
		q := m.candidate(&m.table.Targets[i], nil)
		if q != nil {
			active += float64(q.active + q.placed)
			limit += float64(q.limit)
		}
	}
	if limit == 0 {
		return 1
	}
	return active / limit
}

// drawPeer draws two peers with room, weighted by their limits, and returns
// the one used less.
func (m *Model) drawPeer(p *placement) (target.ID, *peer) {
	if p.count >= maxPlacements {
		return "", nil
	}
	var ids []target.ID
	total := uint64(0)
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if q := m.candidate(t, p); q != nil && q.room() {
			ids = append(ids, t.ID)
			total += uint64(q.limit)
		}
	}
	if total == 0 {
		return "", nil
	}
	a := m.drawWeighted(ids, total)
	b := m.drawWeighted(ids, total)
	if m.peers[b].use() < m.peers[a].use() {
		a = b
	}
	return a, m.peers[a]
}

func (m *Model) drawWeighted(ids []target.ID, total uint64) target.ID {
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

// candidate returns the peer behind a target that takes new flows and has not
// been asked yet, or nil.
func (m *Model) candidate(t *service.Target, p *placement) *peer {
	if t.ID == m.config.Self || !t.Homes || t.Out {
		return nil
	}
	if p != nil && p.tried(t.ID) {
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
		if q := m.candidate(&m.table.Targets[i], nil); q != nil && q.room() {
			return true
		}
	}
	return false
}
