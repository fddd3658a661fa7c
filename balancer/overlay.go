package balancer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// dialNeighbours dials the registrar and a bounded number of other balancers: the
// next on the ring, which keeps the region connected, and some farther on, which
// keep paths short. While no other balancer is known, it dials the first seeds.
func (m *Model) dialNeighbours() {
	m.dialRegistrar()
	others := m.ring.others
	var addresses []string
	if len(others) == 0 {
		addresses = append(addresses, m.config.Seeds[:min(neighbourCount, len(m.config.Seeds))]...)
	}
	for _, o := range neighbourOffsets(len(others)) {
		addresses = append(addresses, others[o].address)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == m.config.ControlAddress })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if slices.Equal(addresses, m.dialedNeighbours) {
		return
	}
	m.dialedNeighbours = addresses
	m.emit(DialNeighboursEffect{
		Addresses: addresses,
	})
}

func (m *Model) dialRegistrar() {
	a := m.heartbeat.GetControlAddress()
	if a == m.config.ControlAddress {
		a = ""
	}
	if a != m.registrarAddress {
		m.registrarAddress = a
		m.emit(DialRegistrarEffect{
			Address: a,
		})
	}
}

// neighbourOffsets returns which of n other balancers to dial, as their positions
// on the ring after this one.
func neighbourOffsets(n int) []int {
	var l []int
	for _, o := range [...]int{0, n / 3, n / 2} {
		if o < n && !slices.Contains(l, o) {
			l = append(l, o)
		}
	}
	return l
}

// rank returns this balancer's place, from zero, in the order of contenders for the
// lease. The latest registrar known here is not counted.
func (m *Model) rank() int {
	self := xxh3.HashString(m.config.Name)
	n := 0
	for _, entry := range m.ring.others {
		if entry.name != m.heartbeat.GetHolder() && entry.hash < self {
			n++
		}
	}
	return n
}

// updateWatch turns the watch of the platform on at the registrar and at the
// balancers of the lowest ranks, twice as many of them while the registrar is
// silent.
func (m *Model) updateWatch(now time.Time) {
	silent := now.Sub(m.heartbeatReceivedAt) > m.config.Lease.SilenceTimeout
	watchers := standbyWatchers
	if silent {
		watchers *= 2
	}
	on := m.registrar != nil || m.rank() < watchers
	if on != m.watching {
		m.watching = on
		m.emit(WatchEffect{
			On: on,
		})
	}
}
