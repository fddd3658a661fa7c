package holder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// A balancer that knows which incarnation of a backend server holds a flow can reset the
// flow as soon as a later incarnation is reported. Otherwise it has to ask every agent of
// the service, and after a loss of power all balancers ask all agents about all flows. So
// agents confirm long flows to the balancers that forward their packets.

const (
	// confirmMargin is how much later than the opening of a flow a heartbeat must come to
	// show which incarnation holds the flow: a heartbeat may be delayed, and a backend
	// server that has just restarted takes flows before its first one.
	confirmMargin = 500 * time.Millisecond
	// maxConfirmations is the maximum number of flows in one datagram.
	maxConfirmations = 40
)

// confirmable reports whether the present incarnation of the backend server is known to
// hold the flow.
func (m *Model) confirmable(e *entry) bool {
	if e.state != entryOpen || m.incarnation() == 0 {
		return false
	}
	if e.unverified {
		return e.hintedIncarnation == m.incarnation()
	}
	return m.server.lastHeartbeat.Sub(e.openedAt) >= confirmMargin
}

// noteForwarder schedules a confirmation of the flow for the balancer that forwards its
// packets, unless that balancer has one.
func (m *Model) noteForwarder(t flow.Tuple, e *entry) {
	if e.confirmedTo == e.balancer || !m.confirmable(e) {
		return
	}
	e.confirmedTo = e.balancer
	if m.confirmations == nil {
		m.confirmations = map[netip.AddrPort][]flow.Tuple{}
	}
	m.confirmations[e.balancer] = append(m.confirmations[e.balancer], t)
}

// flushConfirmations sends the scheduled confirmations of flows that are still held.
func (m *Model) flushConfirmations() {
	balancers := make([]netip.AddrPort, 0, len(m.confirmations))
	for b := range m.confirmations {
		balancers = append(balancers, b)
	}
	slices.SortFunc(balancers, netip.AddrPort.Compare)
	for _, b := range balancers {
		held := slices.DeleteFunc(m.confirmations[b], func(t flow.Tuple) bool {
			e := m.flows[t]
			return e == nil || !m.confirmable(e)
		})
		for l := range slices.Chunk(held, maxConfirmations) {
			m.emit(ReplyEffect{
				To:                 b,
				Held:               slices.Clone(l),
				BackendIncarnation: m.incarnation(),
			})
		}
	}
	clear(m.confirmations)
}
