package agent

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// adopt puts a newer table in force. Buckets that come to this agent are
// complete only after every peer has listed its flows; buckets that leave are
// handed over with the list of flows that live here.
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
	m.adoptSelf(now, old)
	m.adoptPeers(now, old)
	m.adoptBuckets(now, old)
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
		m.endAll(&m.stats.EndedDomainOut)
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

// adoptBuckets notes gained buckets and hands flows over to homes that gained.
func (m *Model) adoptBuckets(now time.Time, old *service.Table) {
	gainers := map[target.ID]bool{}
	for b := range flow.Bucket(service.BucketCount) {
		h, ok := m.table.Home(b)
		if !ok || sameHome(old, b, h) {
			continue
		}
		if h.ID == m.config.Self {
			m.gained[b] = gain{
				vector: m.table.Vector,
				at:     now,
			}
			continue
		}
		gainers[h.ID] = true
	}
	for i := range m.table.Targets {
		if id := m.table.Targets[i].ID; gainers[id] {
			m.sendSync(id)
		}
	}
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

// complete reports whether every peer has listed its flows of a bucket.
func (m *Model) complete(b flow.Bucket) bool {
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if t.ID == m.config.Self || t.Out {
			continue
		}
		p := m.peers[t.ID]
		if p == nil || !p.answered(m.gained[b].vector) {
			return false
		}
	}
	return true
}

// mayOpen reports whether a new flow of a bucket may be placed: every peer has
// answered or had time to.
func (m *Model) mayOpen(b flow.Bucket, now time.Time) bool {
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if t.ID == m.config.Self || t.Out {
			continue
		}
		p := m.peers[t.ID]
		if p == nil || p.answered(m.gained[b].vector) {
			continue
		}
		if now.Sub(m.gained[b].at) < syncTimeout || now.Sub(p.since) < syncTimeout {
			return false
		}
	}
	return true
}

// repeatRequests asks peers that still owe a list.
func (m *Model) repeatRequests(now time.Time) {
	if m.table == nil || m.self == nil || m.fenced {
		return
	}
	need := m.latestGain()
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if t.ID == m.config.Self || t.Out {
			continue
		}
		p := m.peer(t.ID, now)
		if p.answered(need) || now.Sub(p.askedAt) < syncRetry {
			continue
		}
		p.askedAt = now
		m.emit(SyncRequestEffect{
			To:     t.ID,
			Vector: need,
		})
	}
}

// latestGain is the vector that a list must cover to complete every bucket.
func (m *Model) latestGain() service.Vector {
	v := service.Vector{}
	for b := range m.gained {
		v = v.Join(m.gained[b].vector)
	}
	return v
}

func (m *Model) syncRequest(x SyncRequestMsg) {
	if !m.Vector().Covers(x.Vector) {
		m.owed[x.From] = x.Vector
		m.emit(WantEffect{})
		return
	}
	m.sendSync(x.From)
}

func (m *Model) answerOwed() {
	for id, v := range m.owed {
		if m.table.Vector.Covers(v) {
			delete(m.owed, id)
			m.sendSync(id)
		}
	}
}

// sendSync lists the flows that live here and have their home at a peer.
func (m *Model) sendSync(to target.ID) {
	if m.table == nil {
		return
	}
	var keys []flow.Key
	for k, f := range m.flows {
		if f.closing {
			continue
		}
		if h, ok := m.home(k); ok && h.ID == to {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	m.stats.ControlFlows += uint64(len(keys))
	m.emit(SyncEffect{
		To:     to,
		Vector: m.table.Vector,
		Flows:  keys,
	})
}

// sync replaces what is known of the flows at a peer.
func (m *Model) sync(now time.Time, x SyncMsg) {
	p := m.peer(x.From, now)
	p.hasSynced = true
	p.synced = p.synced.Join(x.Vector)
	for k, a := range m.away {
		if a.target == x.From && a.confirmed {
			delete(m.away, k)
		}
	}
	for _, k := range x.Flows {
		m.confirm(k, x.From)
	}
	m.flushHeld(now)
}

func (m *Model) register(now time.Time, x RegisterMsg) {
	m.peer(x.From, now)
	for _, k := range x.Opened {
		m.confirm(k, x.From)
	}
	for _, k := range x.Ended {
		if p := m.away[k]; p != nil && p.target == x.From {
			delete(m.away, k)
		}
	}
}

// confirm records that a flow lives at a peer.
func (m *Model) confirm(k flow.Key, at target.ID) {
	if f := m.flows[k]; f != nil && !f.closing {
		m.stats.Violations++
		return
	}
	m.away[k] = &placement{
		target:    at,
		confirmed: true,
	}
}

func (m *Model) peerLost(now time.Time, x PeerLostMsg) {
	p := m.peer(x.From, now)
	p.limit = 0
	p.hasSynced = false
}

func (m *Model) peer(id target.ID, now time.Time) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{
			since: now,
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
