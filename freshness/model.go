// Package freshness decides, at each balancer, when the declared state must be
// looked at in the platform's store, and when a peer's word is enough. Few look,
// all hear of it: the calls of a fleet stay flat while it grows. Update takes a
// message and returns effects; it does no I/O.
package freshness

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Config bounds how old the held state may be.
type Config struct {
	Name    string
	Address netip.AddrPort
	// ConfigAge, DomainsAge and AgentsAge are the longest times without a
	// confirmation that the held state is the newest.
	MaxConfigAge  time.Duration
	MaxDomainsAge time.Duration
	MaxAgentsAge  time.Duration
	// Watchers is the number of balancers that wait at the store for changes.
	Watchers int
	Seed     uint64
}

// Model is what a balancer and its peers have in force.
type Model struct {
	config Config
	rand   *rand.Rand
	held   [kinds]held
	ages   [kinds]time.Duration
	// peers are the other balancers and when each was last heard or listed; order
	// has their addresses.
	peers map[netip.AddrPort]time.Time
	order []netip.AddrPort
	// self is the hash of this balancer, and watchers when those with the lowest
	// hashes were heard.
	self     uint64
	watchers map[uint64]time.Time
	told     time.Time
	// named is when a digest last named the watchers; naming is set while one does.
	named   time.Time
	naming  bool
	effects []Effect
}

// Kind is a piece of declared state.
type Kind uint8

const (
	// KindConfig is the operators' configuration.
	KindConfig Kind = iota
	// KindDomains is the list of failure domains taken out.
	KindDomains
	// KindAgents is the list of registered agents.
	KindAgents
	kinds
)

// Kinds is the number of kinds of declared state.
const Kinds = int(kinds)

// held is one piece of state in force here.
type held struct {
	state State
	// confirmed is the latest moment at which it was the newest.
	confirmed time.Time
	// patience is the age at which this balancer looks for itself; it varies, so
	// that one looks and the others hear of it.
	patience time.Duration
	asked    time.Time
	fetched  time.Time
}

// State names a piece of declared state without its content.
type State struct {
	// Revision orders states; Hash tells equal content at different revisions.
	Revision uint64
	Hash     uint64
}

// askPause is the time between two looks at the store, or two fetches.
const askPause = 400 * time.Millisecond

// NewModel returns a model that holds nothing.
func NewModel(c Config) *Model {
	m := &Model{
		config: c,
		rand:   rand.New(rand.NewPCG(c.Seed, 1)),
		ages: [kinds]time.Duration{
			KindConfig:  c.MaxConfigAge,
			KindDomains: c.MaxDomainsAge,
			KindAgents:  c.MaxAgentsAge,
		},
		peers:    map[netip.AddrPort]time.Time{},
		self:     hashOf(c.Name),
		watchers: map[uint64]time.Time{},
	}
	for k := range m.held {
		m.renew(Kind(k))
	}
	return m
}

// Msg is anything that Model.Update takes.
type Msg any

// AdoptedMsg says that a piece of state is in force here now.
type AdoptedMsg struct {
	Kind  Kind
	State State
}

// ConfirmedMsg says that the held state was the newest at a moment.
type ConfirmedMsg struct {
	Kind Kind
	At   time.Time
}

// DigestMsg is what a peer has in force.
type DigestMsg struct {
	From     netip.AddrPort
	States   [Kinds]State
	Ages     [Kinds]time.Duration
	Watchers []Watcher
}

// PeersMsg lists the balancers that have registered.
type PeersMsg struct {
	Addresses []netip.AddrPort
}

// TickMsg drives timeouts.
type TickMsg struct{}

// Effect is anything that the runtime does on behalf of Model.Update.
type Effect any

// ReadStoreEffect asks for a look at the store.
type ReadStoreEffect struct {
	Kind Kind
}

// FetchEffect asks a peer for its state, which is newer.
type FetchEffect struct {
	Kind Kind
	From netip.AddrPort
}

// SendDigestEffect sends a digest to some peers now.
type SendDigestEffect struct {
	To []netip.AddrPort
}

// Update takes one message and returns what is to be done. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case AdoptedMsg:
		h := &m.held[x.Kind]
		if h.state != x.State {
			h.state = x.State
			m.tell(now)
		}
	case ConfirmedMsg:
		if m.confirm(x.Kind, x.At) > newsGap {
			m.tell(now)
		}
	case PeersMsg:
		for _, a := range x.Addresses {
			m.peerSeen(now, a)
		}
	case DigestMsg:
		m.digest(now, x)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// maxAge stands for any longer age in a digest.
const maxAge = time.Hour

// Digest returns what is in force here.
func (m *Model) Digest(now time.Time) DigestMsg {
	d := DigestMsg{
		From:     m.config.Address,
		Watchers: m.watcherList(now),
	}
	for k, h := range m.held {
		d.States[k] = h.state
		d.Ages[k] = min(now.Sub(h.confirmed), maxAge)
	}
	return d
}

// Watches reports whether this balancer waits at the store for changes: the few
// with the lowest hashes of a region do.
func (m *Model) Watches(now time.Time) bool {
	m.watchers[m.self] = now
	return slices.Contains(m.lowest(now), m.self)
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// confirm notes that the held state was the newest at a moment, and returns by how
// much that is newer than what was known.
func (m *Model) confirm(k Kind, at time.Time) time.Duration {
	d := at.Sub(m.held[k].confirmed)
	if d > 0 {
		m.held[k].confirmed = at
		m.renew(k)
	}
	return d
}

// suppressionSize is the number of balancers up to which few of them look at a time.
const suppressionSize = 10_000

// renew draws the age at which this balancer looks for itself, between half of the
// limit and the limit. Few draw an early age and most a late one, as in the feedback
// suppression of multicast protocols (RFC 5740): by the time that most would look,
// the first ones have told them.
func (m *Model) renew(k Kind) {
	limit := m.ages[k]
	late := 1 + math.Log(1-m.rand.Float64())/math.Log(suppressionSize)
	m.held[k].patience = limit/2 + time.Duration(max(0, late)*float64(limit/2))
}

func (m *Model) digest(now time.Time, x DigestMsg) {
	if x.From == m.config.Address {
		return
	}
	m.peerSeen(now, x.From)
	m.hearWatchers(now, x.Watchers)
	newer := time.Duration(0)
	for k := range m.held {
		h := &m.held[k]
		switch {
		case x.States[k].Hash == h.state.Hash && h.state != State{}:
			d := m.confirm(Kind(k), now.Add(-x.Ages[k]))
			if Kind(k) != KindAgents {
				newer = max(newer, d)
			}
		case x.States[k].Revision > h.state.Revision && now.Sub(h.fetched) > askPause:
			h.fetched = now
			m.emit(FetchEffect{
				Kind: Kind(k),
				From: x.From,
			})
		}
	}
	m.spread(now, newer)
}

func (m *Model) tick(now time.Time) {
	config := m.due(now, KindConfig)
	domains := m.due(now, KindDomains)
	if len(m.order) > fanout {
		// Confirmed together, they are passed on together.
		config = config || domains
		domains = config
	}
	for k, due := range [kinds]bool{
		KindConfig:  config,
		KindDomains: domains,
		KindAgents:  m.due(now, KindAgents),
	} {
		if due {
			m.held[k].asked = now
			m.emit(ReadStoreEffect{
				Kind: Kind(k),
			})
		}
	}
	if now.Sub(m.told) >= tellPeriod {
		m.sweepPeers(now)
		m.tell(now)
	}
}

// due reports whether the held state is so old that it must be looked at.
func (m *Model) due(now time.Time, k Kind) bool {
	h := &m.held[k]
	return now.Sub(h.confirmed) > h.patience && now.Sub(h.asked) > askPause
}
