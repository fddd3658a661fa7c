// Package balancer receives the packets of flows from the fabric and forwards
// them to agents. Model holds the declared state and the roster and replicates
// them to neighbours and agents; Routes finds the agent that is home of a
// packet's flow. Both do no I/O: Model.Update takes a message and returns
// effects, which Runtime performs.
package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
)

// Model is the control state of one balancer. It belongs to one goroutine.
//
//	m := balancer.NewModel(config, now)
//	for _, e := range m.Update(now, balancer.TickMsg{}) { perform(e) }
type Model struct {
	config    Config
	document  *intent.Document
	roster    *roster.Roster
	tables    map[string]*service.Table
	links     map[ConnID]*link
	agents    map[string]*agent
	lease     *lease.Model
	registrar *roster.Registrar
	// lastTerm is the latest term in which this balancer was the registrar. A
	// term is never served twice: its versions would not be unique.
	lastTerm lease.Term
	pings    map[string]*pingRecord
	// lostNeighbours maps neighbours without a connection to the time of the loss
	// or of the latest report of it.
	lostNeighbours map[string]time.Time
	// heartbeat is the newest heartbeat of a registrar, possibly this balancer.
	heartbeat         *controlpb.Beat
	heartbeatSequence uint64
	heartbeatSentAt   time.Time
	// heartbeatReceivedAt is when that heartbeat was received or sent.
	heartbeatReceivedAt time.Time
	pingSentAt          time.Time
	platformRespondedAt time.Time
	watching            bool
	isolated            bool
	dialedNeighbours    []string
	registrarAddress    string
	ring                ring
	// rosterDirty is set while peers have not been sent the latest roster.
	rosterDirty bool
	stats       Stats
	effects     []Effect
}

// Stats counts events of a model.
type Stats struct {
	// StaleDocuments counts documents from the platform that were ignored because
	// they were older than the one in force.
	StaleDocuments uint64
	// Gaps counts deltas that could not be applied because they start above the
	// version held here or, for the roster, do not continue its history.
	Gaps uint64
	// Lapses counts targets whose heartbeats have not reached this balancer for
	// lapseTimeout, also because their agent has moved to another balancer.
	Lapses uint64
	// Terms counts how often this balancer became the registrar.
	Terms uint64
	// Violations counts broken invariants. It must stay zero.
	Violations uint64
}

// NewModel returns a balancer with an empty document and an empty roster.
func NewModel(c Config, now time.Time) *Model {
	// A new balancer waits only startupDelay, not the whole silence timeout: its
	// region may never have had a registrar.
	lastReceived := now.Add(startupDelay - c.Lease.SilenceTimeout)
	return &Model{
		config:              c,
		document:            intent.NewDocument(c.Region),
		roster:              roster.NewRoster(),
		tables:              map[string]*service.Table{},
		links:               map[ConnID]*link{},
		agents:              map[string]*agent{},
		lease:               lease.NewModel(c.Lease, lastReceived),
		pings:               map[string]*pingRecord{},
		lostNeighbours:      map[string]time.Time{},
		heartbeat:           &controlpb.Beat{},
		heartbeatReceivedAt: lastReceived,
		platformRespondedAt: now,
	}
}

// Update takes one message and returns the effects to perform. The result is
// valid until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case OpenMsg:
		m.handleOpen(now, x)
	case CloseMsg:
		m.handleClose(now, x)
	case EnvelopeMsg:
		m.handleEnvelope(now, x)
	case DocumentMsg:
		m.handleDocument(now, x)
	case lease.ReadMsg, lease.WriteMsg:
		m.updateLease(now, x)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// Stats returns the counters so far.
func (m *Model) Stats() Stats {
	return m.stats
}

// IntentRevision returns the revision of the declared state in force here.
func (m *Model) IntentRevision() uint64 {
	return m.document.Revision
}

// RosterVersion returns the version of the roster in force here.
func (m *Model) RosterVersion() roster.Version {
	return m.roster.Version
}

// IsRegistrar reports whether this balancer is the registrar, which orders the
// changes of the roster.
func (m *Model) IsRegistrar() bool {
	return m.registrar != nil
}

// Isolated reports whether this balancer stopped sending because it has no
// neighbour and has received nothing from the registrar or the platform for
// isolationTimeout.
func (m *Model) Isolated() bool {
	return m.isolated
}

// Table returns the table of a service, or nil.
func (m *Model) Table(name string) *service.Table {
	return m.tables[name]
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) tick(now time.Time) {
	m.updateLease(now, lease.TickMsg{})
	m.tickRegistrar(now)
	m.tickAgents(now)
	m.tickLostNeighbours(now)
	m.pushRoster()
	m.sendPing(now)
	m.ring.refresh(m)
	m.dialNeighbours()
	m.updateWatch(now)
	m.updateIsolation(now)
}

// handleDocument merges the document that the platform holds.
func (m *Model) handleDocument(now time.Time, msg DocumentMsg) {
	m.platformRespondedAt = now
	if msg.Document == nil {
		return
	}
	if msg.Document.Revision < m.document.Revision {
		m.stats.StaleDocuments++
		return
	}
	m.mergeIntent(msg.Document.Since(m.document.Revision), 0)
}

// updateIsolation stops the routes and closes the connections of agents while this
// balancer knows of others, has no neighbour, and has received neither a heartbeat
// of the registrar nor a DocumentMsg for isolationTimeout. A registrar's own
// heartbeats count, so it is never isolated.
func (m *Model) updateIsolation(now time.Time) {
	lastReceived := m.heartbeatReceivedAt
	if m.platformRespondedAt.After(lastReceived) {
		lastReceived = m.platformRespondedAt
	}
	isolated := !m.hasNeighbour() && m.knowsOtherBalancer() && now.Sub(lastReceived) > isolationTimeout
	if isolated != m.isolated {
		m.isolated = isolated
		m.publish()
	}
	if isolated {
		m.closeAgentConns()
	}
}

// closeAgentConns closes the connections of all agents, so that they connect to
// another balancer.
func (m *Model) closeAgentConns() {
	for id, l := range m.links {
		if l.isAgent() {
			m.emit(CloseEffect{
				Conn: id,
			})
		}
	}
}

func (m *Model) hasNeighbour() bool {
	for _, l := range m.links {
		if l.isNeighbour() {
			return true
		}
	}
	return false
}

func (m *Model) knowsOtherBalancer() bool {
	for _, member := range m.roster.Service(roster.InstanceService) {
		if member.GetState() != controlpb.MemberState_MEMBER_STATE_GONE && member.GetTarget() != m.config.Name {
			return true
		}
	}
	return false
}

// rebuild builds the tables of services anew and puts them in force. A table with
// an older version than the one in force is a violation and is not used.
func (m *Model) rebuild(names []string) {
	changed := false
	for _, n := range names {
		t := service.BuildTable(n, m.document, m.roster)
		old := m.tables[n]
		if t != nil && old != nil && !t.Vector.Covers(old.Vector) {
			m.stats.Violations++
			continue
		}
		if t == nil {
			delete(m.tables, n)
		} else {
			m.tables[n] = t
		}
		changed = changed || t != nil || old != nil
	}
	if changed {
		m.publish()
	}
}

func (m *Model) publish() {
	m.emit(RoutesEffect{
		Routes: NewRoutes(m.tables, m.isolated),
	})
}
