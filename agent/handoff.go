package agent

import (
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
	m.deadline = x.DrainDeadline
	old := m.table
	m.table = x.Table
	m.adoptedAt = now
	m.adoptSelf(now, old)
	m.adoptPeers(now, old)
	m.adoptBuckets(old)
	m.dropStalePlacements()
	m.answerPendingSyncRequests()
	m.requestSyncs(now)
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
	wasOut := was != nil && was.OutOfService
	if t.OutOfService && !wasOut {
		m.abortAllFlows()
	}
	if !t.OutOfService && wasOut && old != nil {
		m.gate.RestartWarmup(now)
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
			m.removePeer(t.ID)
			m.peer(t.ID, now).incarnation = t.Incarnation
		}
	}
	if old == nil {
		return
	}
	for i := range old.Targets {
		if id := old.Targets[i].ID; id != m.config.Self {
			if _, ok := m.table.Find(id); !ok {
				m.removePeer(id)
			}
		}
	}
}

// removePeer drops a peer that is gone, with all flows that lived there.
func (m *Model) removePeer(id target.ID) {
	delete(m.peers, id)
	delete(m.pendingSyncRequests, id)
	for k, p := range m.placements {
		if p.target == id {
			delete(m.placements, k)
		}
	}
}

// adoptBuckets asks for whole lists when buckets were gained, and tells each
// home of the flows that have just become its own.
func (m *Model) adoptBuckets(old *service.Table) {
	if m.gainedBucket(old) {
		for _, p := range m.peers {
			p.requireFullSync(m.table.Vector)
		}
	}
	moved := m.movedFlows(old)
	for i := range m.table.Targets {
		if id := m.table.Targets[i].ID; id != m.config.Self {
			m.emitSync(id, moved[id], false)
		}
	}
}

// gainedBucket reports whether this agent is home of a bucket that, as far as it
// knows, had another home before.
func (m *Model) gainedBucket(old *service.Table) bool {
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
	for k := range m.placements {
		if h, ok := m.home(k); !ok || h.ID != m.config.Self {
			delete(m.placements, k)
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
