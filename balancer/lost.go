package balancer

import (
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
)

// pingEvery is the time between two pings to the registrar at the present size.
func (m *Model) pingEvery() time.Duration {
	n := len(m.ring.others)
	return max(pingPeriod, time.Duration(n)*pingStep)
}

// linkTo returns a connection to a balancer, or nil.
func (m *Model) linkTo(name string) *ConnID {
	for id, l := range m.links {
		if l.balancer() && l.hello.GetName() == name {
			return &id
		}
	}
	return nil
}

// tickLost reports neighbours that stay out of reach although this balancer
// dials them.
func (m *Model) tickLost(now time.Time) {
	for n, at := range m.lost {
		x := m.roster.Member(n)
		wanted := x != nil && slices.Contains(m.dialed, x.GetControlAddress())
		if !wanted || x.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || m.linkTo(n) != nil {
			delete(m.lost, n)
			continue
		}
		if now.Sub(at) < lostPeriod {
			continue
		}
		m.lost[n] = now
		if m.registrar != nil {
			m.reportedLost(now, n)
			continue
		}
		m.toRegistrar(&controlpb.Envelope{
			Body: &controlpb.Envelope_Lost{
				Lost: &controlpb.Lost{
					Balancer: n,
				},
			},
		})
	}
}

// reportedLost starts, as the registrar, the timeout of what a balancer heard,
// and asks it for a sign of life.
func (m *Model) reportedLost(now time.Time, name string) {
	if m.registrar == nil {
		return
	}
	m.registrar.BalancerLost(name, now)
	for id, l := range m.links {
		if !l.fromBalancer() || l.hello.GetName() != name {
			continue
		}
		m.send(id, &controlpb.Envelope{
			Body: &controlpb.Envelope_ClaimRequest{
				ClaimRequest: &controlpb.ClaimRequest{},
			},
		})
	}
}
