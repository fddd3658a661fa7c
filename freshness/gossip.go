package freshness

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Watcher is a balancer that may wait at the store for changes: the hash of its name
// and the time since it was last known to run.
type Watcher struct {
	Hash uint64
	Age  time.Duration
}

const (
	// fanout is the number of peers that get a digest at each change and in each
	// interval. Peers for which it is new forward it: with five, a change reaches all but
	// one in a hundred balancers of a region of 2,000 in five steps, and the others by
	// the periodic digests.
	fanout = 5
	// digestInterval is the time between two digests while nothing changes.
	digestInterval = 2 * time.Second
	// watcherInterval is the least time between two digests that list the watchers. The
	// list is nearly half of a digest.
	watcherInterval = time.Second
	// forwardThreshold is how much newer than the previous one a confirmation must be for
	// a digest to be sent at once.
	forwardThreshold = 300 * time.Millisecond
	// peerTimeout is the time after which a peer expires that was neither listed nor
	// sent a digest.
	peerTimeout = 20 * time.Second
	// watcherTimeout is the age at which a watcher expires. In a large region it takes
	// some seconds until its digests have reached all balancers.
	watcherTimeout = 6 * time.Second
)

// addPeer adds another balancer, or resets the time after which it expires.
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
		expired := now.Sub(m.peers[a]) > peerTimeout
		if expired {
			delete(m.peers, a)
		}
		return expired
	})
}

// sendDigest sends the digest to a few random peers.
func (m *Model) sendDigest(now time.Time) {
	if len(m.peerAddresses) == 0 {
		return
	}
	m.digestSentAt = now
	m.includeWatchers = now.Sub(m.watchersSentAt) >= watcherInterval
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

// forward sends this balancer's digest when the digest of a peer brought a newer
// confirmation. In a region of no more than fanout peers, the first balancer has sent it
// to all others already.
func (m *Model) forward(now time.Time, newer time.Duration) {
	if newer > forwardThreshold && len(m.peerAddresses) > fanout {
		m.sendDigest(now)
	}
}

// mergeWatchers takes the watchers of a peer's digest over and keeps those with the
// lowest hashes.
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

// lowestHashes returns the hashes of the balancers that wait at the store: the lowest
// ones among those that have not expired.
func (m *Model) lowestHashes(now time.Time) []uint64 {
	var l []uint64
	for h, at := range m.watchers {
		if now.Sub(at) <= watcherTimeout || h == m.nameHash {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, cmp.Compare[uint64])
	return l[:min(len(l), m.config.Watchers)]
}

// watcherList returns the watchers for the latest digest, or nil when it lists none.
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
