package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/target"
)

// register takes what a peer knows for certain.
func (m *Model) register(now time.Time, x RegisterMsg) {
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

// recordEstablished records that the caller has completed a flow's handshake at a peer.
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

// confirm records that a flow lives at a peer. When another target claims it
// too, both are asked: only one can have an established flow.
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

func (m *Model) peerLost(now time.Time, x PeerLostMsg) {
	p := m.peer(x.From, now)
	p.limit = 0
	p.requireFullSync(m.Vector())
	m.dropOffersTo(x.From)
}

// dropOffersTo drops offers whose answer may be lost. The peer's whole list
// tells whether it admitted the flow.
func (m *Model) dropOffersTo(id target.ID) {
	for k, a := range m.placements {
		if a.target == id && !a.confirmed && a.disputeEnds.IsZero() {
			delete(m.placements, k)
		}
	}
}
