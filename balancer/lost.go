package balancer

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
)

// pingInterval returns the time between two pings to the registrar, which grows
// with the number of balancers.
func (m *Model) pingInterval() time.Duration {
	n := len(m.ring.others)
	return max(minPingInterval, time.Duration(n)*pingIntervalPerBalancer)
}

// neighbourConn returns a connection to a neighbour, or nil.
func (m *Model) neighbourConn(name string) *ConnID {
	for id, l := range m.links {
		if l.isNeighbour() && l.hello.GetName() == name {
			return &id
		}
	}
	return nil
}

// tickLostNeighbours reports neighbours that stay unreachable although this
// balancer dials them.
func (m *Model) tickLostNeighbours(now time.Time) {
	for name, at := range m.lostNeighbours {
		member := m.roster.Member(name)
		wanted := member != nil && slices.Contains(m.dialedNeighbours, member.GetControlAddress())
		if !wanted || member.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || m.neighbourConn(name) != nil {
			delete(m.lostNeighbours, name)
			continue
		}
		if now.Sub(at) < lostReportInterval {
			continue
		}
		m.lostNeighbours[name] = now
		if m.registrar != nil {
			m.handleLost(now, name)
			continue
		}
		m.sendToRegistrar(&controlpb.Envelope{
			Body: &controlpb.Envelope_Lost{
				Lost: &controlpb.Lost{
					Balancer: name,
				},
			},
		})
	}
}

// handleLost takes, on the registrar, a report that a balancer is unreachable. It
// starts the timeout of the members which that balancer claimed, and asks it to
// repeat its claims, which shows that it is alive.
func (m *Model) handleLost(now time.Time, name string) {
	if m.registrar == nil {
		return
	}
	m.registrar.BalancerLost(name, now)
	for id, l := range m.links {
		if !l.isBalancer() || l.hello.GetName() != name {
			continue
		}
		m.send(id, &controlpb.Envelope{
			Body: &controlpb.Envelope_ClaimRequest{
				ClaimRequest: &controlpb.ClaimRequest{},
			},
		})
	}
}
