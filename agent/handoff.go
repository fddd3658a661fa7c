package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// adopt puts a newer table in force. Until every peer has listed the flows that
// it holds under this table or a later one, a peer may hold a flow that is
// unknown here: tables may have been skipped, here or at a peer, in which
// buckets moved to another home and back.
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
	m.replyToPendingSyncRequests()
	m.requestSyncs(now)
	m.flushHeld(now)
}

// adoptSelf applies the operators' orders for this target.
func (m *Model) adoptSelf(now time.Time, old *service.Table) {
	previous := m.self
	m.self = nil
	t, ok := m.table.Find(m.config.Self)
	if !ok || t.Incarnation != m.config.Incarnation {
		return
	}
	m.self = t
	wasOutOfService := previous != nil && previous.OutOfService
	if t.OutOfService && !wasOutOfService {
		m.abortAllFlows()
	}
	if !t.OutOfService && wasOutOfService && old != nil {
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

// removePeer removes a peer that is gone, with the placements at it.
func (m *Model) removePeer(id target.ID) {
	delete(m.peers, id)
	delete(m.pendingSyncRequests, id)
	for k, p := range m.placements {
		if p.target == id {
			delete(m.placements, k)
		}
	}
}

// adoptBuckets requests full lists from the peers when this agent gained
// buckets, and sends each home the flows that have just moved to its buckets.
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

// gainedBucket reports whether this agent is now home of a bucket that had
// another home, or no known one, in the previous table.
func (m *Model) gainedBucket(old *service.Table) bool {
	for b := range flow.Bucket(service.BucketCount) {
		h, ok := m.table.Home(b)
		if ok && h.ID == m.config.Self && !sameHome(old, b, h) {
			return true
		}
	}
	return false
}

// movedFlows returns the local flows whose home changed, by their new home.
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

// dropStalePlacements removes the placements of flows that now have another
// home.
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
