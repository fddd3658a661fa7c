// Package director decides, at each balancer, about every packet of flows that
// backend servers themselves end. A balancer keeps nothing that matters: it
// remembers where flows live as hints, and asks the agents when it does not
// know. Update takes a message and returns effects; it does no I/O.
package director

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// Config says where a balancer runs and how it chooses.
type Config struct {
	Name      string
	Domain    string
	Placement placement.Config
	// MaxHints bounds the flows whose place is remembered.
	MaxHints int
}

// Model is the state of one balancer. It belongs to one goroutine at a time.
//
//	m := director.NewModel(config, now)
//	for _, e := range m.Update(now, director.TickMsg{}) { perform(e) }
type Model struct {
	config   Config
	started  time.Time
	declared *routing.Config
	former   former
	out      map[string]bool
	outsRev  uint64
	members  map[string]*member
	byAddr   map[netip.AddrPort]*member
	// ended are agents that have said that they end, by name.
	ended map[string]ending
	// order has the members by name, and searching the lookups by age.
	order     []*member
	searching []*lookup
	services  map[string][]*member
	// opened is the latest new flow of each service.
	opened map[string]time.Time
	// sentinels are the agents that this balancer follows always.
	sentinels []*member
	// changed is set when agents came or went since the sentinels were chosen.
	changed bool
	hints   map[flow.Tuple]*hint
	lookups map[flow.Tuple]*lookup
	// unverified are flows that are to be searched for.
	unverified []FlowHint
	// recalled is set once they have been compared with the agents that are listed.
	recalled bool
	// listedAt is the time of asking of the newest list of agents.
	listedAt  time.Time
	listAsked time.Time
	queued    bool
	sweepAt   time.Time
	stats     Stats
	effects   []Effect
	// choice and choiceMembers are scratch space of place.
	choice        []placement.Candidate
	choiceMembers []*member
}

const (
	// defaultMaxHints takes some 20 MB.
	defaultMaxHints = 100_000
	// hintLifetime forgets the place of a silent flow.
	hintLifetime = 30 * time.Second
	// sweepPeriod is the time between two searches for forgotten flows.
	sweepPeriod = time.Second
)

// NewModel returns a model without a configuration; it drops packets until the
// first ConfigMsg.
func NewModel(c Config, now time.Time) *Model {
	if c.MaxHints <= 0 {
		c.MaxHints = defaultMaxHints
	}
	return &Model{
		config:   c,
		started:  now,
		former:   former{},
		out:      map[string]bool{},
		members:  map[string]*member{},
		byAddr:   map[netip.AddrPort]*member{},
		ended:    map[string]ending{},
		services: map[string][]*member{},
		opened:   map[string]time.Time{},
		hints:    map[flow.Tuple]*hint{},
		lookups:  map[flow.Tuple]*lookup{},
	}
}

// Update takes one message and returns what is to be done. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case PacketMsg:
		m.packet(now, x.Segment, x.Data)
	case RejectMsg:
		m.rejected(now, x)
	case ReportMsg:
		m.report(now, x)
	case ReplyMsg:
		m.answer(now, x)
	case ConfigMsg:
		m.adopt(x)
	case DomainsMsg:
		m.domains(x)
	case MembersMsg:
		m.list(now, x)
	case RestoreMsg:
		m.restore(x)
	case ResumedMsg:
		m.woken(now)
	case FlushMsg:
		m.flush()
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// QueriesPending reports whether queries wait for a FlushMsg.
func (m *Model) QueriesPending() bool {
	return m.queued
}

// Ready reports whether packets can be served here: the configuration is in
// force, and a part of the agents that should be heard is. A balancer that hears
// fewer is cut off itself; the fabric does better with its neighbours.
func (m *Model) Ready(now time.Time) bool {
	if m.declared == nil || (len(m.members) == 0 && m.listedAt.IsZero()) {
		return false
	}
	known := 0
	heard := 0
	for _, x := range m.order {
		s := x.silence(now)
		if (x.asked.IsZero() && now.After(x.follows) && s == 0) || s >= missedLimit {
			continue
		}
		known++
		if s < heardLimit && !x.contact.IsZero() {
			heard++
		}
	}
	return heard*readyPart >= known
}

const (
	// heardLimit is longer than the time between two reports.
	heardLimit = 900 * time.Millisecond
	// missedLimit is the silence after which an agent no longer counts as one
	// that should be heard.
	missedLimit = 10 * time.Second
	// readyPart is one over the part of the agents that must be heard: a region
	// may lose most of its domains.
	readyPart = 5
)

// Version returns the version of the configuration in force; zero is none.
func (m *Model) Version() routing.Version {
	if m.declared == nil {
		return 0
	}
	return m.declared.Version
}

// Declared returns the configuration in force, nil for none.
func (m *Model) Declared() *routing.Config {
	return m.declared
}

// DomainsOutOfService returns the failure domains that are taken out, in order.
func (m *Model) DomainsOutOfService() []string {
	return slices.Sorted(maps.Keys(m.out))
}

// DomainsRevision returns the revision of the list of domains taken out.
func (m *Model) DomainsRevision() uint64 {
	return m.outsRev
}

// Stats returns the counters so far.
func (m *Model) Stats() Stats {
	s := m.stats
	s.Hints = len(m.hints)
	s.Members = len(m.members)
	return s
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// packet decides about one packet of a caller.
func (m *Model) packet(now time.Time, s segment.Segment, data []byte) {
	switch {
	case m.declared == nil:
		m.stats.NoConfig++
	case s.SynAck():
		// Only backend servers accept flows.
		m.stats.Forged++
	case s.Initial():
		m.open(now, s, data)
	default:
		m.continueFlow(now, s, data)
	}
}

// continueFlow sends a packet where its flow lives, or asks for the place.
func (m *Model) continueFlow(now time.Time, s segment.Segment, data []byte) {
	r, ok := m.declared.Routes[routing.AddressOf(s.Tuple)]
	if !ok {
		delete(m.hints, s.Tuple)
		m.reset(s, CauseNoRoute, 0)
		return
	}
	if h := m.hints[s.Tuple]; h != nil {
		h.note(now, s)
		m.send(h.member, data, false)
		return
	}
	m.seek(now, r, s, data)
}

func (m *Model) send(to *member, data []byte, offer bool) {
	m.stats.Delivered++
	m.emit(DeliverEffect{
		To:      to.Address,
		Service: to.Service,
		Offer:   offer,
		Data:    data,
	})
}

// reset ends a flow, unless the caller itself has just reset it.
func (m *Model) reset(s segment.Segment, cause ResetCause, agents int) {
	if s.Has(segment.Rst) {
		return
	}
	m.stats.Reset++
	m.emit(ResetEffect{
		Tuple:    s.Tuple,
		Sequence: s.Ack,
		Cause:    cause,
		Agents:   agents,
	})
}

func (m *Model) adopt(x ConfigMsg) {
	if m.declared != nil && x.Config.Version <= m.declared.Version {
		return
	}
	if m.declared != nil {
		m.former.note(m.declared, x.Config)
	}
	m.declared = x.Config
	m.emit(LogEffect{
		Event: "configuration is in force",
		Count: int(x.Config.Version),
	})
}

func (m *Model) domains(x DomainsMsg) {
	if x.Revision < m.outsRev {
		return
	}
	m.outsRev = x.Revision
	out := map[string]bool{}
	for _, d := range x.OutOfService {
		out[d] = true
		if !m.out[d] {
			m.emit(LogEffect{
				Event:  "failure domain is taken out",
				Member: d,
			})
		}
	}
	for d := range m.out {
		if !out[d] {
			m.emit(LogEffect{
				Event:  "failure domain is back",
				Member: d,
			})
		}
	}
	m.out = out
}

// woken treats all reports as old; agents are asked for new ones.
func (m *Model) woken(now time.Time) {
	for _, x := range m.order {
		x.heard = time.Time{}
		x.contact = time.Time{}
		x.asked = time.Time{}
		x.follows = time.Time{}
		m.solicit(now, x)
	}
	m.listedAt = time.Time{}
	m.emit(ListEffect{})
}

func (m *Model) tick(now time.Time) {
	m.tickLookups(now)
	m.tickVerify(now)
	m.tickSentinels(now)
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(sweepPeriod)
	for t, h := range m.hints {
		if now.Sub(h.used) > hintLifetime {
			delete(m.hints, t)
		}
	}
	m.sweepMembers(now)
}
