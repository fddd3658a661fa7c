package agent

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// behind reports whether a peer has listed its flows under a newer table than
// the one in force.
func (m *Model) behind() bool {
	return !m.Vector().Covers(m.newestVector)
}

// allSynced reports whether the flows of all peers that are not out of service are
// known under the table in force, so that none of them holds a flow unknown here.
func (m *Model) allSynced() bool {
	for i := range m.table.Targets {
		if p := m.relevantPeer(&m.table.Targets[i]); p != nil && !p.coversVector(m.table.Vector) {
			return false
		}
	}
	return true
}

// mayOpen reports whether a new flow may be placed: every peer that is not
// suspect has listed its flows or has had syncTimeout to do so.
func (m *Model) mayOpen(now time.Time) bool {
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		p := m.relevantPeer(t)
		if p == nil || t.Suspect || p.coversVector(m.table.Vector) {
			continue
		}
		if now.Sub(m.adoptedAt) < syncTimeout || now.Sub(p.since) < syncTimeout {
			return false
		}
	}
	return true
}

// UnsyncedPeers lists the peers whose flows are not known under the table in
// force.
func (m *Model) UnsyncedPeers() []target.ID {
	if m.table == nil {
		return nil
	}
	var l []target.ID
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		if p := m.relevantPeer(t); p != nil && !p.coversVector(m.table.Vector) {
			l = append(l, t.ID)
		}
	}
	return l
}

// relevantPeer returns the peer of another target that is not out of service,
// or nil. Only the flows of such peers matter.
func (m *Model) relevantPeer(t *service.Target) *peer {
	if t.ID == m.config.Self || t.OutOfService {
		return nil
	}
	return m.peers[t.ID]
}

// requestSyncs asks the peers that have not listed their flows yet.
func (m *Model) requestSyncs(now time.Time) {
	if m.table == nil || m.self == nil || m.fenced {
		return
	}
	for i := range m.table.Targets {
		t := &m.table.Targets[i]
		p := m.relevantPeer(t)
		if p == nil || p.coversVector(m.table.Vector) || now.Sub(p.requestedAt) < syncRetryInterval {
			continue
		}
		if !p.needFull && now.Sub(m.adoptedAt) < syncRequestDelay {
			continue
		}
		p.requestedAt = now
		m.emit(SyncRequestEffect{
			To:     t.ID,
			Vector: m.table.Vector,
			Full:   p.needFull,
		})
	}
}

func (m *Model) handleSyncRequest(x SyncRequestMsg) {
	if !m.Vector().Covers(x.Vector) {
		m.pendingSyncRequests[x.From] = x
		m.emit(RequestTableEffect{})
		return
	}
	m.replyToSync(x)
}

func (m *Model) replyToPendingSyncRequests() {
	for id, x := range m.pendingSyncRequests {
		if m.table.Vector.Covers(x.Vector) {
			delete(m.pendingSyncRequests, id)
			m.replyToSync(x)
		}
	}
}

// replyToSync replies to a peer's request. When it asks for the complete list, the
// reply lists the flows held here whose home is that peer.
func (m *Model) replyToSync(x SyncRequestMsg) {
	if m.table == nil {
		return
	}
	var keys []flow.Key
	if x.Full {
		keys = m.flowsOf(x.From)
	}
	m.emitSync(x.From, keys, x.Full)
}

// flowsOf returns the open local flows whose home is a target.
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
	m.stats.FlowKeysSent += uint64(len(keys))
	m.emit(SyncEffect{
		To:     to,
		Vector: m.table.Vector,
		Flows:  keys,
		Full:   full,
	})
}

// handleSync records which flows a peer holds.
func (m *Model) handleSync(now time.Time, x SyncMsg) {
	m.peer(x.From, now).recordSync(x)
	m.newestVector = m.newestVector.Join(x.Vector)
	if m.behind() {
		m.emit(RequestTableEffect{})
	}
	if x.Full {
		m.removeFlowsAt(x.From)
	}
	for _, k := range x.Flows {
		m.confirm(now, k, x.From)
	}
	m.flushHeld(now)
}

// removeFlowsAt removes the confirmed placements at a peer, before the flows in
// its complete list are recorded.
func (m *Model) removeFlowsAt(id target.ID) {
	for k, a := range m.placements {
		if a.target == id && a.confirmed {
			delete(m.placements, k)
		}
	}
}
