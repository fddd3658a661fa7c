package freshness

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Watcher names a balancer that may wait at the store for changes, by a hash of its
// name, and how long ago it was heard.
type Watcher struct {
	Hash uint64
	Age  time.Duration
}

const (
	// fanout is the number of peers that hear of news at once, and in each period.
	// Those that hear it pass it on: five reach a region of 2,000 in five steps, and
	// all but one in a hundred of it; the periods reach the rest.
	fanout = 5
	// tellPeriod is the time between two digests without news.
	tellPeriod = 2 * time.Second
	// watcherPeriod is the time between two digests that name the watchers, nearly half
	// of a digest.
	watcherPeriod = time.Second
	// newsGap is how much newer a confirmation must be to be passed on.
	newsGap = 300 * time.Millisecond
	// peerLifetime forgets a peer that was neither heard nor listed.
	peerLifetime = 20 * time.Second
	// watcherLifetime forgets a watcher; in a large region its digests take some
	// seconds to reach all.
	watcherLifetime = 6 * time.Second
)

// peerSeen notes that another balancer is there.
func (m *Model) peerSeen(now time.Time, a netip.AddrPort) {
	if a == m.config.Address {
		return
	}
	if _, ok := m.peers[a]; !ok {
		i, _ := slices.BinarySearchFunc(m.order, a, netip.AddrPort.Compare)
		m.order = slices.Insert(m.order, i, a)
	}
	m.peers[a] = now
}

func (m *Model) sweepPeers(now time.Time) {
	m.order = slices.DeleteFunc(m.order, func(a netip.AddrPort) bool {
		gone := now.Sub(m.peers[a]) > peerLifetime
		if gone {
			delete(m.peers, a)
		}
		return gone
	})
}

// tell sends the digest to a few peers, other ones each time.
func (m *Model) tell(now time.Time) {
	if len(m.order) == 0 {
		return
	}
	m.told = now
	m.naming = now.Sub(m.named) >= watcherPeriod
	if m.naming {
		m.named = now
	}
	n := min(fanout, len(m.order))
	to := make([]netip.AddrPort, 0, n)
	for _, i := range m.rand.Perm(len(m.order))[:n] {
		to = append(to, m.order[i])
	}
	m.emit(SendDigestEffect{
		To: to,
	})
}

// spread passes a newer confirmation on. Where everybody hears everybody, there is
// nobody left to tell.
func (m *Model) spread(now time.Time, newer time.Duration) {
	if newer > newsGap && len(m.order) > fanout {
		m.tell(now)
	}
}

// hearWatchers learns which balancers have the lowest hashes of a region.
func (m *Model) hearWatchers(now time.Time, l []Watcher) {
	for _, w := range l {
		if at := now.Add(-w.Age); at.After(m.watchers[w.Hash]) {
			m.watchers[w.Hash] = at
		}
	}
	m.watchers[m.self] = now
	hashes := m.lowest(now)
	for h := range m.watchers {
		if !slices.Contains(hashes, h) {
			delete(m.watchers, h)
		}
	}
}

// lowest returns the hashes of the balancers that wait at the store.
func (m *Model) lowest(now time.Time) []uint64 {
	var l []uint64
	for h, at := range m.watchers {
		if now.Sub(at) <= watcherLifetime || h == m.self {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, cmp.Compare[uint64])
	return l[:min(len(l), m.config.Watchers)]
}

// watcherList is what a digest says of watchers.
func (m *Model) watcherList(now time.Time) []Watcher {
	if !m.naming {
		return nil
	}
	var l []Watcher
	for _, h := range m.lowest(now) {
		w := Watcher{
			Hash: h,
		}
		if h != m.self {
			w.Age = now.Sub(m.watchers[h])
		}
		l = append(l, w)
	}
	return l
}

func hashOf(name string) uint64 {
	return xxh3.HashString(name)
}
