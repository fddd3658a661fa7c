package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/roster"
)

func leaseHeard(b *controlpb.Beat) lease.HeartbeatMsg {
	return lease.HeartbeatMsg{
		Term: lease.Term(b.GetTerm()),
	}
}

// contend passes a message to the lease and follows what comes of it.
func (m *Model) contend(now time.Time, msg lease.Msg) {
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
		m.pingers = map[string]*pinger{}
	}
}

// mayContend lets balancers contend one after the other, in the order of their
// rank, so that calls to the platform do not grow with their number.
func (m *Model) mayContend(now time.Time) bool {
	if m.lease.Holding() {
		return true
	}
	wait := m.config.Lease.SilenceTimeout + time.Duration(m.rank())*contendStep
	return now.Sub(m.beatenAt) >= wait
}

func (m *Model) becomeRegistrar(now time.Time) {
	m.stats.Terms++
	m.lastTerm = m.lease.Term()
	m.registrar = roster.NewRegistrar(m.roster, uint32(m.lease.Term()), now)
	m.rebuild(m.serviceNames())
	m.sequence = 0
	m.sendBeat(now)
	m.claimAll()
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
	for n, p := range m.pingers {
		if now.Sub(p.heardAt) > pingsMissed*m.pingEvery() {
			m.registrar.BalancerLost(n, now)
			delete(m.pingers, n)
		}
	}
	if m.registrar.Tick(now) {
		m.rosterChanged(m.serviceNames())
	}
	if now.Sub(m.beatAt) >= beatPeriod {
		m.sendBeat(now)
	}
}

func (m *Model) sendBeat(now time.Time) {
	m.beatAt = now
	m.beatenAt = now
	m.sequence++
	m.beat = &controlpb.Beat{
		Term:           uint64(m.lease.Term()),
		Sequence:       m.sequence,
		Holder:         m.config.Name,
		ControlAddress: m.config.ControlAddress,
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
		Stale:          m.lease.Stale(now),
	}
	m.sendBeatTo(m.beat, 0)
}

// claimed takes a claim as the registrar.
func (m *Model) claimed(c *controlpb.Claim) {
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
		m.rosterChanged([]string{c.GetMember().GetService()})
	}
}

func (m *Model) rosterChanged(names []string) {
	m.rebuild(withoutInstances(names))
	m.rosterDirty = true
}

func (m *Model) pinged(now time.Time, p *controlpb.Ping) {
	if m.registrar == nil {
		return
	}
	m.pingers[p.GetName()] = &pinger{
		ping:    p,
		heardAt: now,
	}
}
