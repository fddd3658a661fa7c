// Package freshness decides, at each balancer, when the declared state must be read
// from the platform's store, and when the digest of a peer is enough. At a time, only a
// few balancers read it and pass the result on by gossip, so the calls to the store
// hardly grow with the number of balancers. Update takes a message and returns effects;
// it does no I/O.
package freshness

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Config names a balancer and limits the age of its declared state.
type Config struct {
	Name    string
	Address netip.AddrPort
	// MaxConfigAge, MaxDomainsAge and MaxAgentsAge are the times without a confirmation
	// that the state in force is the newest after which the store is read at the latest.
	MaxConfigAge  time.Duration
	MaxDomainsAge time.Duration
	MaxAgentsAge  time.Duration
	// Watchers is the number of balancers that wait at the store for changes.
	Watchers int
	Seed     uint64
}

// Model knows which declared state a balancer has in force, when that was last
// confirmed, and the balancer's peers.
type Model struct {
	config  Config
	rand    *rand.Rand
	adopted [kinds]adoptedState
	maxAges [kinds]time.Duration
	// peers has the time at which each other balancer was last listed or sent a
	// digest, and peerAddresses their addresses in order.
	peers         map[netip.AddrPort]time.Time
	peerAddresses []netip.AddrPort
	// nameHash is the hash of this balancer's name. watchers has, by that hash, the
	// times at which the balancers with the lowest hashes were last known to run.
	nameHash uint64
	watchers map[uint64]time.Time
	// joinedAt is the time of the first message.
	joinedAt     time.Time
	digestSentAt time.Time
	// watchersSentAt is when a digest last listed the watchers. includeWatchers is set
	// if the latest digest does.
	watchersSentAt  time.Time
	includeWatchers bool
	effects         []Effect
}

// Kind is a piece of declared state.
type Kind uint8

const (
	// KindConfig is the operators' configuration.
	KindConfig Kind = iota
	// KindDomains is the list of failure domains out of service.
	KindDomains
	// KindAgents is the list of registered agents.
	KindAgents
	kinds
)

// Label returns the name of a kind of state in logs and metrics.
func (k Kind) Label() string {
	switch k {
	case KindConfig:
		return "configuration"
	case KindDomains:
		return "failure_domains"
	default:
		return "agents"
	}
}

// Kinds is the number of kinds of declared state.
const Kinds = int(kinds)

// adoptedState is one piece of state in force here.
type adoptedState struct {
	state State
	// confirmedAt is the latest moment at which it was the newest.
	confirmedAt time.Time
	// checkAfter is the age at which this balancer reads the store itself. It is
	// random, so that few balancers read the store and the others get their digests.
	checkAfter time.Duration
	checkedAt  time.Time
	announced  announcement
	// fetching is set from a FetchEffect to its FetchedMsg, and fetchedAt is when the
	// latest fetch began.
	fetching  bool
	fetchedAt time.Time
	// unconfirmed is the highest age since an UnconfirmedEffect, zero once the age is below its
	// limit.
	unconfirmed time.Duration
}

// State identifies a piece of declared state without its content.
type State struct {
	// Revision orders states; Hash is equal for equal content at different revisions.
	Revision uint64
	Hash     uint64
}

// retryInterval is the least time between two reads of the store, or two fetches, of one
// kind of state.
const retryInterval = 400 * time.Millisecond

// NewModel returns a model without declared state or peers.
func NewModel(c Config) *Model {
	m := &Model{
		config: c,
		rand:   rand.New(rand.NewPCG(c.Seed, 1)),
		maxAges: [kinds]time.Duration{
			KindConfig:  c.MaxConfigAge,
			KindDomains: c.MaxDomainsAge,
			KindAgents:  c.MaxAgentsAge,
		},
		peers:    map[netip.AddrPort]time.Time{},
		nameHash: hashOf(c.Name),
		watchers: map[uint64]time.Time{},
	}
	for k := range m.adopted {
		m.drawCheckAge(Kind(k))
	}
	return m
}

// Msg is anything that Model.Update takes.
type Msg any

// AdoptedMsg says that a piece of declared state is now in force here.
type AdoptedMsg struct {
	Kind  Kind
	State State
}

// ConfirmedMsg says that the state in force was the newest at a moment.
type ConfirmedMsg struct {
	Kind Kind
	At   time.Time
}

// DigestMsg is what a peer has in force, and the times since that was last confirmed.
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

// FetchedMsg says that a fetch from a peer has ended. What it brought was in AdoptedMsg before.
type FetchedMsg struct {
	Kind     Kind
	From     netip.AddrPort
	Revision uint64
	Failed   bool
}

// TickMsg drives timeouts.
type TickMsg struct{}

// Effect is anything that the runtime does on behalf of Model.Update.
type Effect any

// ReadStoreEffect reads a piece of declared state from the store.
type ReadStoreEffect struct {
	Kind Kind
}

// FetchEffect fetches a newer piece of declared state from a peer. The runtime sends a
// FetchedMsg at its end; there is one fetch of a kind at a time.
type FetchEffect struct {
	Kind     Kind
	From     netip.AddrPort
	Revision uint64
}

// SendDigestEffect sends the result of Model.Digest to some peers. The runtime calls
// Digest at once, as the next message may change whether it lists the watchers.
type SendDigestEffect struct {
	To []netip.AddrPort
}

// UnconfirmedEffect says that for longer than its limit and a usual read of the store, no
// confirmation has come that the state in force is the newest.
type UnconfirmedEffect struct {
	Kind Kind
	Age  time.Duration
}

// ConfirmedAgainEffect ends what an UnconfirmedEffect has said. Age is the highest age meanwhile.
type ConfirmedAgainEffect struct {
	Kind Kind
	Age  time.Duration
}

// Update takes one message and returns the effects to perform. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	if m.joinedAt.IsZero() {
		m.joinedAt = now
	}
	switch x := msg.(type) {
	case AdoptedMsg:
		adopted := &m.adopted[x.Kind]
		if adopted.state != x.State {
			adopted.state = x.State
			m.sendDigest(now)
		}
	case ConfirmedMsg:
		if m.confirm(x.Kind, x.At) > forwardThreshold {
			m.sendDigest(now)
		}
	case PeersMsg:
		for _, a := range x.Addresses {
			m.addPeer(now, a)
		}
	case DigestMsg:
		m.handleDigest(now, x)
	case FetchedMsg:
		m.handleFetched(now, x)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// maxAge is the highest age in a digest; it stands for all longer ones.
const maxAge = time.Hour

// Digest returns the digest of what is in force here.
func (m *Model) Digest(now time.Time) DigestMsg {
	d := DigestMsg{
		From:     m.config.Address,
		Watchers: m.watcherList(now),
	}
	for k, adopted := range m.adopted {
		d.States[k] = adopted.state
		d.Ages[k] = m.Age(now, Kind(k))
	}
	return d
}

// joinDelay is the time after the first message in which a balancer leaves watching to
// others: one that has just started does not know the watchers yet, and when a region
// starts, all of its balancers would watch.
const joinDelay = 1500 * time.Millisecond

// agentWatchers is the number of balancers that wait for changes of the list of agents.
// One is enough: new agents also report to balancers, and decisions that need a newer list
// read it.
const agentWatchers = 1

// Watches reports whether this balancer waits at the store for changes of a kind of state:
// the few with the lowest hashes of a region do.
func (m *Model) Watches(now time.Time, k Kind) bool {
	if now.Sub(m.joinedAt) < joinDelay {
		return false
	}
	m.watchers[m.nameHash] = now
	l := m.lowestHashes(now)
	if k == KindAgents {
		l = l[:min(len(l), agentWatchers)]
	}
	return slices.Contains(l, m.nameHash)
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// confirm records that the state in force was the newest at a moment, and returns how
// much later that is than the previous confirmation. If it is not later, nothing changes
// and the result is not positive.
func (m *Model) confirm(k Kind, at time.Time) time.Duration {
	d := at.Sub(m.adopted[k].confirmedAt)
	if d > 0 {
		m.adopted[k].confirmedAt = at
		m.drawCheckAge(k)
	}
	return d
}

// suppressionSize is the number of balancers up to which few of them read the store at
// a time.
const suppressionSize = 10_000

// drawCheckAge draws the age at which this balancer reads the store itself, between half
// of the limit and the limit. Few draw a low age and most a high one, as in the feedback
// suppression of multicast protocols (RFC 5740): before most balancers would read the
// store, they get a digest from the first ones.
func (m *Model) drawCheckAge(k Kind) {
	limit := m.maxAges[k]
	late := 1 + math.Log(1-m.rand.Float64())/math.Log(suppressionSize)
	m.adopted[k].checkAfter = limit/2 + time.Duration(max(0, late)*float64(limit/2))
}

func (m *Model) handleDigest(now time.Time, msg DigestMsg) {
	if msg.From == m.config.Address {
		return
	}
	m.addPeer(now, msg.From)
	m.mergeWatchers(now, msg.Watchers)
	newer := time.Duration(0)
	for k := range m.adopted {
		adopted := &m.adopted[k]
		switch {
		case msg.States[k].Hash == adopted.state.Hash && adopted.state != State{}:
			d := m.confirm(Kind(k), now.Add(-msg.Ages[k]))
			if Kind(k) != KindAgents {
				newer = max(newer, d)
			}
		case msg.States[k].Revision > adopted.state.Revision:
			m.announce(now, Kind(k), msg.States[k].Revision, msg.From)
		}
	}
	m.forward(now, newer)
}

func (m *Model) tick(now time.Time) {
	config := m.due(now, KindConfig)
	domains := m.due(now, KindDomains)
	if len(m.peerAddresses) > fanout {
		// Both are read together, so that one digest passes both confirmations on.
		config = config || domains
		domains = config
	}
	for k, due := range [kinds]bool{
		KindConfig:  config,
		KindDomains: domains,
		KindAgents:  m.due(now, KindAgents),
	} {
		if due {
			m.adopted[k].checkedAt = now
			m.emit(ReadStoreEffect{
				Kind: Kind(k),
			})
		}
	}
	for k := range m.adopted {
		m.fetchAnnounced(now, Kind(k))
	}
	m.reportUnconfirmed(now)
	if now.Sub(m.digestSentAt) >= digestInterval {
		m.sweepPeers(now)
		m.sendDigest(now)
	}
}

// due reports whether the last confirmation is so old that the store must be read.
func (m *Model) due(now time.Time, k Kind) bool {
	adopted := &m.adopted[k]
	return now.Sub(adopted.confirmedAt) > adopted.checkAfter && now.Sub(adopted.checkedAt) > retryInterval
}
