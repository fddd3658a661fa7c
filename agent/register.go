package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/target"
)

// handleRegister handles a peer's statement about single flows: those it holds for
// certain and those it does not hold.
func (m *Model) handleRegister(now time.Time, x RegisterMsg) {
	m.peer(x.From, now)
	for _, k := range x.Opened {
		m.recordEstablished(k, x.From)
	}
	for _, k := range x.Ended {
		if p := m.placements[k]; p != nil && p.target == x.From {
			delete(m.placements, k)
		}
	}
}

// recordEstablished records that the caller has completed a flow's handshake at
// a peer. If the flow is established here too, that is counted as a broken
// invariant.
func (m *Model) recordEstablished(k flow.Key, at target.ID) {
	if f := m.flows[k]; f != nil && f.state != flowClosing {
		if f.established {
			m.stats.Violations++
			return
		}
		m.abortFlow(k)
	}
	m.setPlacement(k, at)
}

// confirm records that a peer holds a flow. When another target holds it too,
// both are sent a release: only one of them can have an established flow, and
// that one keeps it.
func (m *Model) confirm(now time.Time, k flow.Key, at target.ID) {
	if f := m.flows[k]; f != nil && f.state != flowClosing {
		m.emitRelease(at, k)
		return
	}
	p := m.placements[k]
	if p == nil || !p.confirmed || p.target == at {
		m.setPlacement(k, at)
		return
	}
	m.emitRelease(p.target, k)
	m.emitRelease(at, k)
	m.placements[k] = &placement{
		target:      at,
		disputeEnds: now.Add(disputeTimeout),
	}
}

func (m *Model) setPlacement(k flow.Key, at target.ID) {
	delete(m.flows, k)
	m.placements[k] = &placement{
		target:    at,
		confirmed: true,
	}
}

func (m *Model) handlePeerLost(now time.Time, x PeerLostMsg) {
	p := m.peer(x.From, now)
	p.limit = 0
	p.requireFullSync(m.Vector())
	m.dropOffersTo(x.From)
}

// dropOffersTo removes the offers to a peer that has not replied to them, because
// the replies may be lost. The peer's next full list shows whether it admitted the flow.
func (m *Model) dropOffersTo(id target.ID) {
	for k, a := range m.placements {
		if a.target == id && !a.confirmed && a.disputeEnds.IsZero() {
			delete(m.placements, k)
		}
	}
}
