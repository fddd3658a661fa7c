package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
	"google.golang.org/protobuf/proto"
)

// announce takes a heartbeat of an agent.
func (m *Model) announce(now time.Time, from ConnID, a *controlpb.Announce) {
	x := a.GetMember()
	old := m.listeners[x.GetTarget()]
	if old != nil && old.member.GetIncarnation() > x.GetIncarnation() {
		return
	}
	l := &listener{
		conn:     from,
		member:   x,
		vitals:   a.GetVitals(),
		revision: a.GetIntentRevision(),
		version:  a.GetRosterVersion(),
		heardAt:  now,
	}
	m.listeners[x.GetTarget()] = l
	if old == nil || !proto.Equal(old.member, x) || m.listedWrong(x) {
		m.claim(x, false)
	}
	if x.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
		delete(m.listeners, x.GetTarget())
	}
	m.resend(now, from, l)
}

// pulse takes a short heartbeat. An agent that is not known here must announce
// itself again, which it does on a new connection.
func (m *Model) pulse(now time.Time, from ConnID, p *controlpb.Pulse) {
	l := m.listeners[m.links[from].hello.GetName()]
	if l == nil || l.conn != from {
		m.emit(CloseEffect{
			Conn: from,
		})
		return
	}
	l.heardAt = now
	if l.vitals != nil {
		l.vitals.Active = p.GetActive()
		l.vitals.Limit = p.GetLimit()
	}
	if l.suspect {
		l.suspect = false
		m.claim(l.member, false)
	}
	m.resend(now, from, l)
}

// listedWrong reports whether the roster lacks a living member.
func (m *Model) listedWrong(x *controlpb.Member) bool {
	r := m.roster.Member(x.GetTarget())
	return r == nil || r.GetIncarnation() < x.GetIncarnation() || r.GetState() != x.GetState()
}

// resend repeats a delta that an agent seems to have missed.
func (m *Model) resend(now time.Time, id ConnID, l *listener) {
	k := m.links[id]
	if k == nil || now.Sub(k.resentAt) < resendPeriod {
		return
	}
	behind := l.revision < m.document.Revision || l.version < uint64(m.roster.Version)
	if !behind {
		return
	}
	k.resentAt = now
	k.revision = l.revision
	k.version = roster.Version(l.version)
	m.pushTo(id, k)
}

// tickListeners reports targets whose heartbeats stop: first as suspect, so
// that their buckets get another home, later as lapsed.
func (m *Model) tickListeners(now time.Time) {
	for id, l := range m.listeners {
		silence := now.Sub(l.heardAt)
		switch {
		case silence > announceTimeout:
			m.stats.Lapses++
			m.claim(l.member, true)
			delete(m.listeners, id)
		case silence > suspectTimeout && !l.suspect:
			l.suspect = true
			m.claim(suspectOf(l.member), false)
		}
	}
}

// agentClosed shortens the time until the agents of a closed connection are
// suspect.
func (m *Model) agentClosed(now time.Time, c ConnID) {
	for _, l := range m.listeners {
		if l.conn == c {
			early := now.Add(closedGrace - suspectTimeout)
			if l.heardAt.After(early) {
				l.heardAt = early
			}
		}
	}
}

func suspectOf(x *controlpb.Member) *controlpb.Member {
	c := proto.CloneOf(x)
	c.State = controlpb.MemberState_MEMBER_STATE_SUSPECT
	return c
}

// claim tells the registrar about a member.
func (m *Model) claim(x *controlpb.Member, lapsed bool) {
	c := &controlpb.Claim{
		Member:   x,
		Balancer: m.config.Name,
		Lapsed:   lapsed,
	}
	if m.registrar != nil {
		m.claimed(c)
		return
	}
	m.toRegistrar(&controlpb.Envelope{
		Body: &controlpb.Envelope_Claim{
			Claim: c,
		},
	})
}

// claimAll repeats all claims for a registrar that is new or was unreachable.
func (m *Model) claimAll() {
	m.claim(m.member(), false)
	for _, l := range m.listeners {
		m.claim(l.member, false)
	}
}

// member is this balancer's own entry in the roster.
func (m *Model) member() *controlpb.Member {
	return &controlpb.Member{
		Target:         m.config.Name,
		Incarnation:    m.config.Incarnation,
		Service:        roster.InstanceService,
		Domain:         m.config.Domain,
		PacketAddress:  m.config.PacketAddress,
		ControlAddress: m.config.ControlAddress,
		State:          controlpb.MemberState_MEMBER_STATE_JOINED,
	}
}

func (m *Model) ping(now time.Time) {
	if now.Sub(m.pingedAt) < m.pingEvery() {
		return
	}
	m.pingedAt = now
	p := &controlpb.Ping{
		Name:           m.config.Name,
		Domain:         m.config.Domain,
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
		Agents:         uint32(len(m.listeners)),
		AgentsRevision: m.agentsRevision(),
	}
	if m.registrar != nil {
		m.pinged(now, p)
		m.claim(m.member(), false)
		return
	}
	if m.listedWrong(m.member()) {
		m.claim(m.member(), false)
	}
	m.toRegistrar(&controlpb.Envelope{
		Body: &controlpb.Envelope_Ping{
			Ping: p,
		},
	})
}

// agentsRevision is the lowest revision in force at the agents heard here.
func (m *Model) agentsRevision() uint64 {
	r := m.document.Revision
	for _, l := range m.listeners {
		r = min(r, l.revision)
	}
	return r
}

// toRegistrar sends on the connection to the registrar, if there is one.
func (m *Model) toRegistrar(e *controlpb.Envelope) {
	for id, l := range m.links {
		if l.uplink && l.hello.GetName() == m.beat.GetHolder() {
			m.send(id, e)
			return
		}
	}
}
