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
	// digestPeriod is the time between two digests without news.
	digestPeriod = 2 * time.Second
	// watcherPeriod is the time between two digests that name the watchers, nearly half
	// of a digest.
	watcherPeriod = time.Second
	// forwardThreshold is how much newer a confirmation must be to be passed on.
	forwardThreshold = 300 * time.Millisecond
	// peerLifetime forgets a peer that was neither heard nor listed.
	peerLifetime = 20 * time.Second
	// watcherLifetime forgets a watcher; in a large region its digests take some
	// seconds to reach all.
	watcherLifetime = 6 * time.Second
)

// addPeer notes that another balancer is there.
func (m *Model) addPeer(now time.Time, a netip.AddrPort) {
	if a == m.config.Address {
		return
	}
	if _, ok := m.peers[a]; !ok {
		i, _ := slices.BinarySearchFunc(m.peerAddresses, a, netip.AddrPort.Compare)
		m.peerAddresses = slices.Insert(m.peerAddresses, i, a)
	}
	m.peers[a] = now
}

func (m *Model) sweepPeers(now time.Time) {
	m.peerAddresses = slices.DeleteFunc(m.peerAddresses, func(a netip.AddrPort) bool {
		gone := now.Sub(m.peers[a]) > peerLifetime
		if gone {
			delete(m.peers, a)
		}
		return gone
	})
}

// sendDigest sends the digest to a few peers, other ones each time.
func (m *Model) sendDigest(now time.Time) {
	if len(m.peerAddresses) == 0 {
		return
	}
	m.digestSentAt = now
	m.includeWatchers = now.Sub(m.watchersSentAt) >= watcherPeriod
	if m.includeWatchers {
		m.watchersSentAt = now
	}
	n := min(fanout, len(m.peerAddresses))
	to := make([]netip.AddrPort, 0, n)
	for _, i := range m.rand.Perm(len(m.peerAddresses))[:n] {
		to = append(to, m.peerAddresses[i])
	}
	m.emit(SendDigestEffect{
		To: to,
	})
}

// forward passes a newer confirmation on. Where everybody hears everybody, there is
// nobody left to tell.
func (m *Model) forward(now time.Time, newer time.Duration) {
	if newer > forwardThreshold && len(m.peerAddresses) > fanout {
		m.sendDigest(now)
	}
}

// mergeWatchers learns which balancers have the lowest hashes of a region.
func (m *Model) mergeWatchers(now time.Time, l []Watcher) {
	for _, w := range l {
		if at := now.Add(-w.Age); at.After(m.watchers[w.Hash]) {
			m.watchers[w.Hash] = at
		}
	}
	m.watchers[m.nameHash] = now
	hashes := m.lowestHashes(now)
	for h := range m.watchers {
		if !slices.Contains(hashes, h) {
			delete(m.watchers, h)
		}
	}
}

// lowestHashes returns the hashes of the balancers that wait at the store.
func (m *Model) lowestHashes(now time.Time) []uint64 {
	var l []uint64
	for h, at := range m.watchers {
		if now.Sub(at) <= watcherLifetime || h == m.nameHash {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, cmp.Compare[uint64])
	return l[:min(len(l), m.config.Watchers)]
}

// watcherList is what a digest says of watchers.
func (m *Model) watcherList(now time.Time) []Watcher {
	if !m.includeWatchers {
		return nil
	}
	var l []Watcher
	for _, h := range m.lowestHashes(now) {
		w := Watcher{
			Hash: h,
		}
		if h != m.nameHash {
			w.Age = now.Sub(m.watchers[h])
		}
		l = append(l, w)
	}
	return l
}

func hashOf(name string) uint64 {
	return xxh3.HashString(name)
}
