package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/roster"
)

func leaseHeartbeat(b *controlpb.Beat) lease.HeartbeatMsg {
	return lease.HeartbeatMsg{
		Term: lease.Term(b.GetTerm()),
	}
}

// updateLease passes a message to the lease model, emits its effect, and starts
// or ends the role of registrar when the lease was won or lost. It drops ticks while
// this balancer may not contend.
func (m *Model) updateLease(now time.Time, msg lease.Msg) {
	if _, ok := msg.(lease.TickMsg); ok && !m.mayContend(now) {
		return
	}
	if e := m.lease.Update(now, msg); e != nil {
		m.emit(e)
	}
	switch {
	case m.lease.Holding() && m.registrar == nil && m.lease.Term() > m.lastTerm:
		m.becomeRegistrar(now)
	case !m.lease.Holding() && m.registrar != nil:
		m.registrar = nil
		m.pings = map[string]*pingRecord{}
	}
}

// mayContend reports whether this balancer holds the lease or may contend for it.
// Balancers contend one after the other, in the order of their rank, so that calls to
// the platform do not grow with their number.
func (m *Model) mayContend(now time.Time) bool {
	if m.lease.Holding() {
		return true
	}
	wait := m.config.Lease.SilenceTimeout + time.Duration(m.rank())*contendDelayPerRank
	return now.Sub(m.heartbeatReceivedAt) >= wait
}

func (m *Model) becomeRegistrar(now time.Time) {
	m.stats.Terms++
	m.lastTerm = m.lease.Term()
	m.registrar = roster.NewRegistrar(m.roster, uint32(m.lease.Term()), now)
	m.rebuild(m.serviceNames())
	m.heartbeatSequence = 0
	m.sendHeartbeat(now)
	m.sendAllClaims()
	m.rosterDirty = true
}

func (m *Model) serviceNames() []string {
	var l []string
	for n := range m.document.Services {
		l = append(l, n)
	}
	return l
}

func (m *Model) tickRegistrar(now time.Time) {
	if m.registrar == nil {
		return
	}
	for n, p := range m.pings {
		if now.Sub(p.lastReceived) > maxMissedPings*m.pingInterval() {
			m.registrar.BalancerLost(n, now)
			delete(m.pings, n)
		}
	}
	if m.registrar.Tick(now) {
		m.rosterChanged(m.serviceNames())
	}
	if now.Sub(m.heartbeatSentAt) >= heartbeatInterval {
		m.sendHeartbeat(now)
	}
}

func (m *Model) sendHeartbeat(now time.Time) {
	m.heartbeatSentAt = now
	m.heartbeatReceivedAt = now
	m.heartbeatSequence++
	m.heartbeat = &controlpb.Beat{
		Term:           uint64(m.lease.Term()),
		Sequence:       m.heartbeatSequence,
		Holder:         m.config.Name,
		ControlAddress: m.config.ControlAddress,
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
		Stale:          m.lease.Stale(now),
	}
	m.broadcastHeartbeat(m.heartbeat, 0)
}

// handleClaim applies a balancer's claim to the roster, on the registrar.
func (m *Model) handleClaim(c *controlpb.Claim) {
	if m.registrar == nil {
		return
	}
	changed := false
	if c.GetLapsed() {
		changed = m.registrar.Lapse(c.GetMember(), c.GetBalancer())
	} else {
		changed = m.registrar.Claim(c.GetMember(), c.GetBalancer())
	}
	if changed {
		m.rosterChanged(roster.Services(m.roster.Member(c.GetMember().GetTarget())))
	}
}

func (m *Model) rosterChanged(names []string) {
	m.rebuild(withoutInstanceService(names))
	m.rosterDirty = true
}

func (m *Model) handlePing(now time.Time, p *controlpb.Ping) {
	if m.registrar == nil {
		return
	}
	m.pings[p.GetName()] = &pingRecord{
		ping:         p,
		lastReceived: now,
	}
}
