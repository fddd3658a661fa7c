package balancer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// dial keeps a bounded number of connections to other balancers: the next on
// the ring, which keeps it whole, and some farther on, which keep it short. Seeds
// are dialed while the ring is unknown.
func (m *Model) dial() {
	m.dialRegistrar()
	ring := m.ring.others
	var addresses []string
	if len(ring) == 0 {
		addresses = append(addresses, m.config.Seeds[:min(links, len(m.config.Seeds))]...)
	}
	for _, o := range offsets(len(ring)) {
		addresses = append(addresses, ring[o].address)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == m.config.ControlAddress })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if slices.Equal(addresses, m.dialed) {
		return
	}
	m.dialed = addresses
	m.emit(DialNeighboursEffect{
		Addresses: addresses,
	})
}

func (m *Model) dialRegistrar() {
	a := m.beat.GetControlAddress()
	if a == m.config.ControlAddress {
		a = ""
	}
	if a != m.uplink {
		m.uplink = a
		m.emit(DialRegistrarEffect{
			Address: a,
		})
	}
}

// offsets picks places on a ring of n others, counted from this balancer.
func offsets(n int) []int {
	var l []int
	for _, o := range [...]int{0, n / 3, n / 2} {
		if o < n && !slices.Contains(l, o) {
			l = append(l, o)
		}
	}
	return l
}

// rank is this balancer's place in the order of contenders for the lease.
func (m *Model) rank() int {
	self := xxh3.HashString(m.config.Name)
	n := 0
	for _, x := range m.ring.others {
		if x.name != m.beat.GetHolder() && x.hash < self {
			n++
		}
	}
	return n
}

// watch follows the platform at the registrar, its deputies, and at the first
// few balancers when the registrar is silent.
func (m *Model) watch(now time.Time) {
	silent := now.Sub(m.beatenAt) > m.config.Lease.SilenceTimeout
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
