// Package balancer is the entry of packets from the fabric. Model holds the
// declared state and the roster, and decides what to tell whom; Routes sends
// each packet to the agent that is home of its flow. Both do no I/O: Update
// takes a message and returns effects, which Runtime performs.
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
	listeners map[string]*listener
	lease     *lease.Model
	registrar *roster.Registrar
	// lastTerm is the latest term in which this balancer was the registrar. A
	// term is never served twice: its versions would not be unique.
	lastTerm lease.Term
	pingers  map[string]*pinger
	// lost holds neighbours that closed their last connection, and since when.
	lost     map[string]time.Time
	beat     *controlpb.Beat
	sequence uint64
	beatAt   time.Time
	beatenAt time.Time
	pingedAt time.Time
	provenAt time.Time
	watching bool
	stopped  bool
	dialed   []string
	uplink   string
	ring     ring
	// rosterDirty is set while neighbours lack a change of the roster.
	rosterDirty bool
	stats       Stats
	effects     []Effect
}

// Stats counts what a model has seen.
type Stats struct {
	// StaleDocuments counts older documents that were offered and ignored.
	StaleDocuments uint64
	// Gaps counts deltas that did not fit.
	Gaps uint64
	// Lapses counts targets whose heartbeats stopped.
	Lapses uint64
	// Terms counts how often this balancer became the registrar.
	Terms uint64
	// Violations counts broken invariants. It stays zero.
	Violations uint64
}

// NewModel returns a balancer that knows only its settings.
func NewModel(c Config, now time.Time) *Model {
	// A region that has never had a registrar need not wait for the silence of
	// one.
	heard := now.Add(startGrace - c.Lease.SilenceTimeout)
	return &Model{
		config:    c,
		document:  intent.NewDocument(c.Region),
		roster:    roster.NewRoster(),
		tables:    map[string]*service.Table{},
		links:     map[ConnID]*link{},
		listeners: map[string]*listener{},
		lease:     lease.NewModel(c.Lease, heard),
		pingers:   map[string]*pinger{},
		lost:      map[string]time.Time{},
		beat:      &controlpb.Beat{},
		beatenAt:  heard,
		provenAt:  now,
	}
}

// Update takes one message and returns what is to be done. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case OpenMsg:
		m.open(now, x)
	case CloseMsg:
		m.close(now, x)
	case EnvelopeMsg:
		m.envelope(now, x)
	case DocumentMsg:
		m.accepted(now, x)
	case lease.ReadMsg, lease.WriteMsg:
		m.contend(now, x)
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

// IsRegistrar reports whether this balancer orders the roster.
func (m *Model) IsRegistrar() bool {
	return m.registrar != nil
}

// Isolated reports whether this balancer stopped sending.
func (m *Model) Isolated() bool {
	return m.stopped
}

// Table returns the table of a service, or nil.
func (m *Model) Table(name string) *service.Table {
	return m.tables[name]
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) tick(now time.Time) {
	m.contend(now, lease.TickMsg{})
	m.tickRegistrar(now)
	m.tickListeners(now)
	m.tickLost(now)
	m.pushRoster()
	m.ping(now)
	m.ring.refresh(m)
	m.dial()
	m.watch(now)
	m.isolate(now)
}

// accepted takes the document that the platform holds.
func (m *Model) accepted(now time.Time, x DocumentMsg) {
	m.provenAt = now
	if x.Document == nil {
		return
	}
	if x.Document.Revision < m.document.Revision {
		m.stats.StaleDocuments++
		return
	}
	m.mergeIntent(x.Document.Since(m.document.Revision), 0)
}

// isolate stops the routes of a balancer that nobody tells anything any more.
func (m *Model) isolate(now time.Time) {
	heard := m.beatenAt
	if m.provenAt.After(heard) {
		heard = m.provenAt
	}
	s := !m.hasPeer() && m.knowsPeer() && now.Sub(heard) > isolationTimeout
	if s != m.stopped {
		m.stopped = s
		m.publish()
	}
	if s {
		m.releaseAgents()
	}
}

// releaseAgents makes agents look for a balancer that hears more.
func (m *Model) releaseAgents() {
	for id, l := range m.links {
		if l.agent() {
			m.emit(CloseEffect{
				Conn: id,
			})
		}
	}
}

func (m *Model) hasPeer() bool {
	for _, l := range m.links {
		if l.balancer() {
			return true
		}
	}
	return false
}

func (m *Model) knowsPeer() bool {
	for _, x := range m.roster.Service(roster.InstanceService) {
		if x.GetState() != controlpb.MemberState_MEMBER_STATE_GONE && x.GetTarget() != m.config.Name {
			return true
		}
	}
	return false
}

// rebuild makes new tables for services and puts them in force.
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
		Routes: NewRoutes(m.tables, m.stopped),
	})
}
