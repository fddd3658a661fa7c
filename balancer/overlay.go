package balancer

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/zeebo/xxh3"
)

// peerAddress is a balancer's place on the ring of all balancers.
type peerAddress struct {
	name    string
	address string
	place   uint64
}

// dial keeps a bounded number of connections to other balancers: the next on
// the ring, which keeps it whole, some farther on, which keep it short, and the
// registrar. Seeds are dialed while the ring is unknown.
func (m *Model) dial() {
	ring := m.ring()
	var addresses []string
	if len(ring) == 0 {
		addresses = append(addresses, m.config.Seeds[:min(links, len(m.config.Seeds))]...)
	}
	for _, o := range offsets(len(ring)) {
		addresses = append(addresses, ring[o].address)
	}
	if a := m.beat.GetControlAddress(); a != "" {
		addresses = append(addresses, a)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == m.config.Control })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if slices.Equal(addresses, m.dialed) {
		return
	}
	m.dialed = addresses
	m.emit(DialEffect{
		Addresses: addresses,
	})
}

// offsets picks places on a ring of n others, counted from this balancer.
func offsets(n int) []int {
	var l []int
	for _, o := range []int{0, 1, n / 3, n / 2} {
		if o < n && !slices.Contains(l, o) {
			l = append(l, o)
		}
	}
	return l
}

// ring lists the other living balancers in ring order, starting after this one.
func (m *Model) ring() []peerAddress {
	self := xxh3.HashString(m.config.Name)
	var ring []peerAddress
	for _, x := range m.roster.Service(roster.Instances) {
		if x.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || x.GetTarget() == m.config.Name {
			continue
		}
		ring = append(ring, peerAddress{
			name:    x.GetTarget(),
			address: x.GetControlAddress(),
			place:   xxh3.HashString(x.GetTarget()) - self,
		})
	}
	slices.SortFunc(ring, func(a, b peerAddress) int {
		if a.place < b.place {
			return -1
		}
		return 1
	})
	return ring
}

// rank is this balancer's place in the order of contenders for the lease.
func (m *Model) rank() int {
	self := xxh3.HashString(m.config.Name)
	n := 0
	for _, x := range m.roster.Service(roster.Instances) {
		gone := x.GetState() == controlpb.MemberState_MEMBER_STATE_GONE
		if gone || x.GetTarget() == m.config.Name || x.GetTarget() == m.beat.GetHolder() {
			continue
		}
		if xxh3.HashString(x.GetTarget()) < self {
			n++
		}
	}
	return n
}

// watch follows the platform at the registrar, its deputies, and at the first
// few balancers when the registrar is silent.
func (m *Model) watch(now time.Time) {
	silent := now.Sub(m.beatenAt) > m.config.Lease.Silence
	few := deputies
	if silent {
		few *= 2
	}
	on := m.registrar != nil || m.rank() < few
	if on != m.watching {
		m.watching = on
		m.emit(WatchEffect{
			On: on,
		})
	}
}
