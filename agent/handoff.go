package agent

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// adopt puts a newer table in force. Until every peer has said what it holds
// under this table or a later one, a flow that is unknown here may live there:
// tables may have been skipped, here or at a peer, in which buckets went to
// another home and back.
func (m *Model) adopt(now time.Time, x TableMsg) {
	if x.Table == nil || !x.Table.Vector.Covers(m.Vector()) {
		return
	}
	if x.Gate.Limit > 0 {
		m.config.Gate = x.Gate
		m.gate.Configure(x.Gate)
	}
	m.deadline = x.Deadline
	old := m.table
	m.table = x.Table
	m.adoptedAt = now
	m.adoptSelf(now, old)
	m.adoptPeers(now, old)
	m.adoptBuckets(old)
	m.dropStalePlacements()
	m.answerOwed()
	m.repeatRequests(now)
	m.flushHeld(now)
}

// adoptSelf handles the operators' orders for this target.
func (m *Model) adoptSelf(now time.Time, old *service.Table) {
	was := m.self
	m.self = nil
	t, ok := m.table.Find(m.config.Self)
	if !ok || t.Incarnation != m.config.Incarnation {
		return
	}
	m.self = t
	wasOut := was != nil && was.Out
	if t.Out && !wasOut {
		m.abandonAll()
	}
	if !t.Out && wasOut && old != nil {
		m.gate.TurnCold(now)
	}
}

func (m *Model) adoptPeers(now time.Time, old *service.Table) {
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if t.ID == m.config.Self {
			continue
		}
		p := m.peer(t.ID, now)
		if p.incarnation == 0 {
			p.incarnation = t.Incarnation
		}
		if p.incarnation < t.Incarnation {
			m.forgetPeer(t.ID)
			m.peer(t.ID, now).incarnation = t.Incarnation
		}
	}
	if old == nil {
		return
	}
	for i := range old.Targets {
		if id := old.Targets[i].ID; id != m.config.Self {
			if _, ok := m.table.Find(id); !ok {
				m.forgetPeer(id)
			}
		}
	}
}

// forgetPeer drops a peer that is gone, with all flows that lived there.
func (m *Model) forgetPeer(id target.ID) {
	delete(m.peers, id)
	delete(m.owed, id)
	for k, p := range m.away {
		if p.target == id {
			delete(m.away, k)
		}
	}
}

// adoptBuckets asks for whole lists when buckets were gained, and tells each
// home of the flows that have just become its own.
func (m *Model) adoptBuckets(old *service.Table) {
	if m.gainedAny(old) {
		for _, p := range m.peers {
			p.distrust(m.table.Vector)
		}
	}
	moved := m.movedFlows(old)
	for i := range m.table.Targets {
		if id := m.table.Targets[i].ID; id != m.config.Self {
			m.emitSync(id, moved[id], false)
		}
	}
}

// gainedAny reports whether this agent is home of a bucket that, as far as it
// knows, had another home before.
func (m *Model) gainedAny(old *service.Table) bool {
	for b := range flow.Bucket(service.BucketCount) {
		h, ok := m.table.Home(b)
		if ok && h.ID == m.config.Self && !sameHome(old, b, h) {
			return true
		}
	}
	return false
}

// movedFlows lists the local flows whose home changed, by their new home.
func (m *Model) movedFlows(old *service.Table) map[target.ID][]flow.Key {
	moved := map[target.ID][]flow.Key{}
	for k, f := range m.flows {
		if f.state == flowClosing {
			continue
		}
		h, ok := m.home(k)
		if ok && h.ID != m.config.Self && !sameHome(old, m.table.Bucket(k), h) {
			moved[h.ID] = append(moved[h.ID], k)
		}
	}
	return moved
}

func sameHome(old *service.Table, b flow.Bucket, h *service.Target) bool {
	if old == nil {
		return false
	}
	o, ok := old.Home(b)
	return ok && o.ID == h.ID && o.Incarnation == h.Incarnation
}

// dropStalePlacements forgets flows of buckets that have another home now.
func (m *Model) dropStalePlacements() {
	for k := range m.away {
		if h, ok := m.home(k); !ok || h.ID != m.config.Self {
			delete(m.away, k)
		}
	}
}

// behind reports whether a peer has listed its flows under a newer table.
func (m *Model) behind() bool {
	return !m.Vector().Covers(m.ahead)
}

// complete reports whether the flows of every peer are known under the table in
// force, so that a flow unknown here is unknown everywhere.
func (m *Model) complete() bool {
	for i := range m.table.Targets {
		if p := m.watched(&m.table.Targets[i]); p != nil && !p.answered(m.table.Vector) {
			return false
		}
	}
	return true
}

// mayOpen reports whether a new flow may be placed: every peer that is not
// suspect has answered or had time to.
func (m *Model) mayOpen(now time.Time) bool {
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		p := m.watched(t)
		if p == nil || t.Suspect || p.answered(m.table.Vector) {
			continue
		}
		if now.Sub(m.adoptedAt) < syncTimeout || now.Sub(p.since) < syncTimeout {
			return false
		}
	}
	return true
}

// Waiting lists the peers whose flows are not known under the table in force.
func (m *Model) Waiting() []target.ID {
	if m.table == nil {
		return nil
	}
	var l []target.ID
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if p := m.watched(t); p != nil && !p.answered(m.table.Vector) {
			l = append(l, t.ID)
		}
	}
	return l
}

// watched returns the peer behind a target whose flows matter, or nil.
func (m *Model) watched(t *service.Target) *peer {
	if t.ID == m.config.Self || t.Out {
		return nil
	}
	return m.peers[t.ID]
}

// repeatRequests asks peers that have not answered.
func (m *Model) repeatRequests(now time.Time) {
	if m.table == nil || m.self == nil || m.fenced {
		return
	}
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		p := m.watched(t)
		if p == nil || p.answered(m.table.Vector) || now.Sub(p.askedAt) < syncRetry {
			continue
		}
		if !p.needFull && now.Sub(m.adoptedAt) < syncGrace {
			continue
		}
		p.askedAt = now
		m.emit(SyncRequestEffect{
			To:     t.ID,
			Vector: m.table.Vector,
			Full:   p.needFull,
		})
	}
}

func (m *Model) syncRequest(x SyncRequestMsg) {
	if !m.Vector().Covers(x.Vector) {
		m.owed[x.From] = x
		m.emit(WantEffect{})
		return
	}
	m.answerSync(x)
}

func (m *Model) answerOwed() {
	for id, x := range m.owed {
		if m.table.Vector.Covers(x.Vector) {
			delete(m.owed, id)
			m.answerSync(x)
		}
	}
}

// answerSync answers a peer, with the flows that live here and have their home
// there if it asks for the whole list.
func (m *Model) answerSync(x SyncRequestMsg) {
	if m.table == nil {
		return
	}
	var keys []flow.Key
	if x.Full {
		keys = m.flowsOf(x.From)
	}
	m.emitSync(x.From, keys, x.Full)
}

// flowsOf lists the open local flows that have their home at a target.
func (m *Model) flowsOf(id target.ID) []flow.Key {
	var keys []flow.Key
	for k, f := range m.flows {
		if f.state == flowClosing {
			continue
		}
		if h, ok := m.home(k); ok && h.ID == id {
			keys = append(keys, k)
		}
	}
	return keys
}

func (m *Model) emitSync(to target.ID, keys []flow.Key, full bool) {
	slices.SortFunc(keys, compareKeys)
	m.stats.ControlFlows += uint64(len(keys))
	m.emit(SyncEffect{
		To:     to,
		Vector: m.table.Vector,
		Flows:  keys,
		Full:   full,
	})
}

// sync notes what a peer holds.
func (m *Model) sync(now time.Time, x SyncMsg) {
	m.peer(x.From, now).heardSync(x)
	m.ahead = m.ahead.Join(x.Vector)
	if m.behind() {
		m.emit(WantEffect{})
	}
	if x.Full {
		m.forgetFlowsAt(x.From)
	}
	for _, k := range x.Flows {
		m.confirm(now, k, x.From)
	}
	m.flushHeld(now)
}

// forgetFlowsAt drops the confirmed flows of a peer that is about to list them.
func (m *Model) forgetFlowsAt(id target.ID) {
	for k, a := range m.away {
		if a.target == id && a.confirmed {
			delete(m.away, k)
		}
	}
}

// register takes what a peer knows for certain.
func (m *Model) register(now time.Time, x RegisterMsg) {
	m.peer(x.From, now)
	for _, k := range x.Opened {
		m.assert(k, x.From)
	}
	for _, k := range x.Ended {
		if p := m.away[k]; p != nil && p.target == x.From {
			delete(m.away, k)
		}
	}
}

// assert records that the caller has completed a flow's handshake at a peer.
func (m *Model) assert(k flow.Key, at target.ID) {
	if f := m.flows[k]; f != nil && f.state != flowClosing {
		if f.established {
			m.stats.Violations++
			return
		}
		m.abandon(k)
	}
	m.setAway(k, at)
}

// confirm records that a flow lives at a peer. When another target claims it
// too, both are asked: only one can have an established flow.
func (m *Model) confirm(now time.Time, k flow.Key, at target.ID) {
	if f := m.flows[k]; f != nil && f.state != flowClosing {
		m.emitRelease(at, k)
		return
	}
	p := m.away[k]
	if p == nil || !p.confirmed || p.target == at {
		m.setAway(k, at)
		return
	}
	m.emitRelease(p.target, k)
	m.emitRelease(at, k)
	m.away[k] = &placement{
		target:   at,
		disputed: now.Add(disputeTimeout),
	}
}

func (m *Model) setAway(k flow.Key, at target.ID) {
	delete(m.flows, k)
	m.away[k] = &placement{
		target:    at,
		confirmed: true,
	}
}

func (m *Model) peerLost(now time.Time, x PeerLostMsg) {
	p := m.peer(x.From, now)
	p.limit = 0
	p.distrust(m.Vector())
	m.forgetOffersTo(x.From)
}

// forgetOffersTo drops offers whose answer may be lost. The peer's whole list
// tells whether it admitted the flow.
func (m *Model) forgetOffersTo(id target.ID) {
	for k, a := range m.away {
		if a.target == id && !a.confirmed && a.disputed.IsZero() {
			delete(m.away, k)
		}
	}
}

func (m *Model) peer(id target.ID, now time.Time) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{
			since:    now,
			needFull: true,
		}
		m.peers[id] = p
	}
	return p
}

func compareKeys(a, b flow.Key) int {
	if a.Source != b.Source {
		if a.Source < b.Source {
			return -1
		}
		return 1
	}
	return int(a.Port) - int(b.Port)
}
