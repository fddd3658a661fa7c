// Package director is the balancer side of the mode in which backend servers terminate
// TCP flows themselves. It decides where every packet of a caller goes. Flows do not
// depend on the state of a balancer: it only caches their locations as hints, and for a
// flow without a hint it queries the agents. Update takes a message and returns effects;
// it does no I/O.
package director

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// Config says where a balancer runs and how it chooses targets.
type Config struct {
	Name      string
	Domain    string
	Placement placement.Config
	// RestartGrace is the time after an unplanned start of an agent in which the users'
	// rules leave it out; zero or less is defaultRestartGrace. See maxOffers.
	RestartGrace time.Duration
	// MaxHints is the maximum number of hints; zero or less is defaultMaxHints.
	MaxHints int
	// LoadAware makes placement and admission depend on learned costs and on failing backend
	// servers. Without it, neither takes effect.
	LoadAware bool
}

// Model is the state of one balancer. It belongs to one goroutine at a time.
//
//	m := director.NewModel(config, now)
//	for _, e := range m.Update(now, director.TickMsg{}) { perform(e) }
type Model struct {
	config           Config
	startedAt        time.Time
	declared         *routing.Config
	earlier          earlierServices
	outOfService     map[string]bool
	outOfServiceRev  uint64
	members          map[string]*member
	membersByAddress map[netip.AddrPort]*member
	// ended has the agents that have reported their end, by name.
	ended map[string]endedAgent
	// sortedMembers has the members in the order of their names, and activeLookups
	// the lookups, the oldest first.
	sortedMembers    []*member
	activeLookups    []*lookup
	membersByService map[string][]*member
	// lastOpened is the time of the latest new flow of each service.
	lastOpened map[string]time.Time
	// sentinels are the agents to which this balancer is always subscribed.
	sentinels  []*member
	domainLoss domainLoss
	// membersChanged is set when agents were added or removed since the sentinels were
	// chosen.
	membersChanged bool
	hints          map[flow.Tuple]*hint
	lookups        map[flow.Tuple]*lookup
	// offerHistories has the offers of lookups that have timed out.
	offerHistories map[flow.Tuple]offerHistory
	// unverified are flows whose hints are to be restored or that are to be looked up.
	unverified []FlowHint
	// restored is set once unverified has been compared with the listed agents.
	restored bool
	// listedAt is when the newest list of agents was requested.
	listedAt        time.Time
	listRequestedAt time.Time
	queriesPending  bool
	nextSweep       time.Time
	// costTables has the merged costs of each service, and costMerger is scratch space; both
	// are nil unless load-aware.
	costTables map[string]serviceTable
	costMerger *cost.Merger
	stats      Stats
	effects    []Effect
	// candidates and candidateMembers are scratch space of choose.
	candidates       []placement.Candidate
	candidateMembers []*member
	ejection         ejection
	// admission is nil unless load-aware.
	admission *admission
}

const (
	// defaultMaxHints takes some 20 MB.
	defaultMaxHints     = 100_000
	defaultRestartGrace = 3500 * time.Millisecond
	// hintTimeout is the time without packets after which a hint expires.
	hintTimeout = 30 * time.Second
	// sweepInterval is the time between two removals of expired hints and members.
	sweepInterval = time.Second
)

// NewModel returns a model without a configuration; it drops packets until the
// first ConfigMsg.
func NewModel(c Config, now time.Time) *Model {
	if c.RestartGrace <= 0 {
		c.RestartGrace = defaultRestartGrace
	}
	if c.MaxHints <= 0 {
		c.MaxHints = defaultMaxHints
	}
	return &Model{
		config:           c,
		startedAt:        now,
		earlier:          earlierServices{},
		outOfService:     map[string]bool{},
		members:          map[string]*member{},
		membersByAddress: map[netip.AddrPort]*member{},
		ended:            map[string]endedAgent{},
		membersByService: map[string][]*member{},
		lastOpened:       map[string]time.Time{},
		hints:            map[flow.Tuple]*hint{},
		lookups:          map[flow.Tuple]*lookup{},
		offerHistories:   map[flow.Tuple]offerHistory{},
		admission:        newAdmission(c),
	}
}

// Update takes one message and returns the effects to perform. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case PacketMsg:
		m.handlePacket(now, x.Segment, x.Data)
	case RejectMsg:
		m.handleReject(now, x)
	case ReportMsg:
		m.handleReport(now, x)
	case ReplyMsg:
		m.handleReply(now, x)
	case HandoverMsg:
		m.handleHandover(now, x)
	case HandoverRequestMsg:
		m.handleHandoverRequest(now, x)
	case ConfigCheckMsg:
		m.handleConfigCheck(now, x)
	case ConfigMsg:
		m.adoptConfig(x)
	case DomainsMsg:
		m.adoptDomains(x)
	case MembersMsg:
		m.handleMembers(now, x)
	case RestoreMsg:
		m.handleRestore(x)
	case ResumedMsg:
		m.handleResumed(now)
	case FlushMsg:
		m.flushQueries()
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// QueriesPending reports whether queries wait for a FlushMsg.
func (m *Model) QueriesPending() bool {
	return m.queriesPending
}

// Ready reports whether packets can be served here: a configuration is in force, and
// something was received lately from at least one in readyDivisor of the agents that
// should have sent something. A balancer that receives less is cut off itself, so the
// fabric should send packets to the other balancers.
func (m *Model) Ready(now time.Time) bool {
	if m.declared == nil || (len(m.members) == 0 && m.listedAt.IsZero()) {
		return false
	}
	expected := 0
	reachable := 0
	for _, agent := range m.sortedMembers {
		s := agent.silence(now)
		if (agent.unansweredSince.IsZero() && now.After(agent.subscribedUntil) && s == 0) || s >= lostTimeout {
			continue
		}
		expected++
		if s < silenceTimeout && !agent.lastReceived.IsZero() {
			reachable++
		}
	}
	return reachable*readyDivisor >= expected
}

const (
	// silenceTimeout is the silence below which an agent counts as reachable: longer
	// than the time between two reports.
	silenceTimeout = 900 * time.Millisecond
	// lostTimeout is the silence after which an agent counts as lost and is no longer
	// expected to send anything.
	lostTimeout = 10 * time.Second
	// readyDivisor is the inverse of the part of the agents that must be reachable. It
	// is this high because a region may lose most of its domains.
	readyDivisor = 5
)

// Version returns the version of the configuration in force, zero for none.
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

// DomainsOutOfService returns the failure domains that are out of service, in order.
func (m *Model) DomainsOutOfService() []string {
	return slices.Sorted(maps.Keys(m.outOfService))
}

// DomainsRevision returns the revision of the list of domains out of service.
func (m *Model) DomainsRevision() uint64 {
	return m.outOfServiceRev
}

// Stats returns the counters so far.
func (m *Model) Stats() Stats {
	s := m.stats
	s.Hints = len(m.hints)
	s.Members = len(m.members)
	s.ConfigVersion = m.Version()
	s.ServersEjected = m.ejectedMembers()
	return s
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// handlePacket decides what happens to one packet of a caller.
func (m *Model) handlePacket(now time.Time, s segment.Segment, data []byte) {
	switch {
	case m.declared == nil:
		m.stats.NoConfig++
	case s.SynAck():
		// Only backend servers send SYN-ACK.
		m.stats.Forged++
	case s.Initial():
		m.openFlow(now, s, data)
	default:
		m.continueFlow(now, s, data)
	}
}

// continueFlow sends a packet to the agent that holds its flow, or looks the flow up.
func (m *Model) continueFlow(now time.Time, s segment.Segment, data []byte) {
	r, ok := m.declared.Routes[routing.AddressOf(s.Tuple)]
	if !ok {
		delete(m.hints, s.Tuple)
		m.reset(s, CauseNoRoute, 0)
		return
	}
	h := m.hints[s.Tuple]
	switch {
	case h == nil:
		m.lookUp(now, r, s, data)
	case !h.ended() && m.isLost(h.member):
		delete(m.hints, s.Tuple)
		m.reset(s, CauseDomainLost, 1)
	case !h.ended():
		h.update(now, s)
		m.send(h.member, s.Tuple, data, false)
	case h.sameFlow(s):
		m.reset(s, CauseServerEnded, 1)
	default:
		delete(m.hints, s.Tuple)
		m.lookUp(now, r, s, data)
	}
}

// send sends a packet of a flow to an agent, with the class of its route if load-aware.
func (m *Model) send(to *member, t flow.Tuple, data []byte, offer bool) {
	m.stats.Delivered++
	e := DeliverEffect{
		To:      to.Address,
		Service: to.Service,
		Offer:   offer,
		Data:    data,
	}
	if m.config.LoadAware {
		if r, ok := m.declared.Routes[routing.AddressOf(t)]; ok {
			e.Class = r.Class
			e.Classified = true
		}
	}
	m.emit(e)
}

// reset sends a reset to the caller, unless the caller itself has just reset the flow.
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

func (m *Model) adoptConfig(msg ConfigMsg) {
	if m.declared != nil && msg.Config.Version <= m.declared.Version {
		return
	}
	if m.declared != nil {
		m.earlier.record(m.declared, msg.Config)
	}
	m.declared = msg.Config
	m.emit(LogEffect{
		Event:  "configuration is in force",
		Member: msg.Source,
		Count:  int(msg.Config.Version),
	})
}

func (m *Model) adoptDomains(msg DomainsMsg) {
	if msg.Revision < m.outOfServiceRev {
		return
	}
	m.outOfServiceRev = msg.Revision
	out := map[string]bool{}
	for _, d := range msg.OutOfService {
		out[d] = true
		if !m.outOfService[d] {
			m.emit(LogEffect{
				Event:  "failure domain is out of service; it gets no new flows",
				Member: d,
			})
		}
	}
	for d := range m.outOfService {
		if !out[d] {
			m.emit(LogEffect{
				Event:  "failure domain is back in service",
				Member: d,
			})
		}
	}
	m.outOfService = out
}

// handleResumed treats all reports as stale and requests new ones.
func (m *Model) handleResumed(now time.Time) {
	for _, agent := range m.sortedMembers {
		agent.lastReport = time.Time{}
		agent.lastLoad = time.Time{}
		agent.lastReceived = time.Time{}
		agent.unansweredSince = time.Time{}
		agent.subscribedUntil = time.Time{}
		agent.loadUntil = time.Time{}
		m.requestReport(now, agent)
	}
	m.listedAt = time.Time{}
	m.emit(ListEffect{})
}

func (m *Model) tick(now time.Time) {
	m.tickDomainLoss(now)
	m.tickLookups(now)
	m.tickVerify(now)
	m.tickSentinels(now)
	m.tickEjection(now)
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	for t, h := range m.hints {
		if now.Sub(h.lastUsed) > hintTimeout {
			delete(m.hints, t)
		}
	}
	m.sweepMembers(now)
	for t, h := range m.offerHistories {
		if now.Sub(h.offeredAt) > offerRetention {
			delete(m.offerHistories, t)
		}
	}
}
