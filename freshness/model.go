// Package freshness decides, at each balancer, when the declared state must be
// looked at in the platform's store, and when a peer's word is enough. Few look,
// all hear of it: the calls of a fleet stay flat while it grows. Update takes a
// message and returns effects; it does no I/O.
package freshness

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

// Config bounds how old the held state may be.
type Config struct {
	Self string
	// ConfigAge and DomainsAge are the longest times without a confirmation that
	// the held state is the newest.
	ConfigAge  time.Duration
	DomainsAge time.Duration
	// Watchers is the number of balancers that wait at the store for changes.
	Watchers int
	Seed     uint64
}

// Model is what a balancer and its peers have in force.
type Model struct {
	config  Config
	rand    *rand.Rand
	held    [kinds]held
	peers   map[string]time.Time
	effects []Effect
}

// Kind is a piece of declared state.
type Kind uint8

const (
	// KindConfig is the operators' configuration.
	KindConfig Kind = iota
	// KindDomains is the list of failure domains taken out.
	KindDomains
	kinds
)

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

const (
	// peerLifetime forgets a peer that was not heard.
	peerLifetime = 2 * time.Second
	// askPause is the time between two looks at the store, or two fetches.
	askPause = 400 * time.Millisecond
)

// NewModel returns a model that holds nothing.
func NewModel(c Config) *Model {
	m := &Model{
		config: c,
		rand:   rand.New(rand.NewPCG(c.Seed, 1)),
		peers:  map[string]time.Time{},
	}
	for k := range m.held {
		m.renew(Kind(k))
	}
	return m
}

// Msg is anything that Model.Update takes.
type Msg any

// HeldMsg says that a piece of state is in force here now.
type HeldMsg struct {
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
	Name   string
	States [kinds]State
	Ages   [kinds]time.Duration
}

// TickMsg drives timeouts.
type TickMsg struct{}

// Effect is anything that the runtime does on behalf of Model.Update.
type Effect any

// LookEffect asks for a look at the store.
type LookEffect struct {
	Kind Kind
}

// FetchEffect asks a peer for its state, which is newer.
type FetchEffect struct {
	Name string
}

// TellEffect sends a digest to peers now.
type TellEffect struct{}

// Update takes one message and returns what is to be done. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case HeldMsg:
		h := &m.held[x.Kind]
		if h.state != x.State {
			h.state = x.State
			m.emit(TellEffect{})
		}
	case ConfirmedMsg:
		m.confirm(x.Kind, x.At)
		m.emit(TellEffect{})
	case DigestMsg:
		m.digest(now, x)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// Digest returns what is in force here.
func (m *Model) Digest(now time.Time) DigestMsg {
	d := DigestMsg{
		Name: m.config.Self,
	}
	for k, h := range m.held {
		d.States[k] = h.state
		d.Ages[k] = now.Sub(h.confirmed)
	}
	return d
}

// Watches reports whether this balancer waits at the store for changes: the
// first few in an order that all derive alike, among those that are heard.
func (m *Model) Watches() bool {
	self := xxh3.HashString(m.config.Self)
	before := 0
	for p := range m.peers {
		if xxh3.HashString(p) < self {
			before++
		}
	}
	return before < m.config.Watchers
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) confirm(k Kind, at time.Time) {
	if at.After(m.held[k].confirmed) {
		m.held[k].confirmed = at
		m.renew(k)
	}
}

// renew draws the age at which this balancer looks for itself, between half of
// the limit and the limit.
func (m *Model) renew(k Kind) {
	limit := m.config.ConfigAge
	if k == KindDomains {
		limit = m.config.DomainsAge
	}
	m.held[k].patience = limit/2 + time.Duration(m.rand.Int64N(int64(limit/2)+1))
}

func (m *Model) digest(now time.Time, x DigestMsg) {
	if x.Name == m.config.Self {
		return
	}
	m.peers[x.Name] = now
	for k := range m.held {
		h := &m.held[k]
		switch {
		case x.States[k].Hash == h.state.Hash && h.state != State{}:
			m.confirm(Kind(k), now.Add(-x.Ages[k]))
		case x.States[k].Revision > h.state.Revision && now.Sub(h.fetched) > askPause:
			h.fetched = now
			m.emit(FetchEffect{
				Name: x.Name,
			})
		}
	}
}

func (m *Model) tick(now time.Time) {
	for p, at := range m.peers {
		if now.Sub(at) > peerLifetime {
			delete(m.peers, p)
		}
	}
	for k := range m.held {
		h := &m.held[k]
		if now.Sub(h.confirmed) > h.patience && now.Sub(h.asked) > askPause {
			h.asked = now
			m.emit(LookEffect{
				Kind: Kind(k),
			})
		}
	}
}
