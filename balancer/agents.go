package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
	"google.golang.org/protobuf/proto"
)

// handleAnnounce records an agent's announcement, unless it is of an older
// incarnation, and reports it to the registrar if it changed, if the roster differs, or if the
// latest claim was of a suspect agent: the roster may not show that claim yet.
func (m *Model) handleAnnounce(now time.Time, from ConnID, a *controlpb.Announce) {
	member := a.GetMember()
	old := m.agents[member.GetTarget()]
	if old != nil && old.member.GetIncarnation() > member.GetIncarnation() {
		return
	}
	latest := &agent{
		conn:           from,
		member:         member,
		vitals:         a.GetVitals(),
		intentRevision: a.GetIntentRevision(),
		rosterVersion:  a.GetRosterVersion(),
		lastReceived:   now,
	}
	m.agents[member.GetTarget()] = latest
	if old == nil || old.suspect || !proto.Equal(old.member, member) || m.rosterDiffers(member) {
		m.sendClaim(member, false)
	}
	if member.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
		delete(m.agents, member.GetTarget())
	}
	m.resend(now, from, latest)
}

// handlePulse records an agent's short heartbeat. If the agent's latest announcement
// did not come on this connection, it closes the connection: the agent announces
// itself again when it connects.
func (m *Model) handlePulse(now time.Time, from ConnID, p *controlpb.Pulse) {
	a := m.agents[m.links[from].hello.GetName()]
	if a == nil || a.conn != from {
		m.emit(CloseEffect{
			Conn: from,
		})
		return
	}
	a.lastReceived = now
	if a.vitals != nil {
		a.vitals.Active = p.GetActive()
		a.vitals.Limit = p.GetLimit()
	}
	if a.suspect {
		a.suspect = false
		m.sendClaim(a.member, false)
	}
	m.resend(now, from, a)
}

// rosterDiffers reports whether the roster lacks a member, has an older
// incarnation of it or another state.
func (m *Model) rosterDiffers(member *controlpb.Member) bool {
	listed := m.roster.Member(member.GetTarget())
	return listed == nil || listed.GetIncarnation() < member.GetIncarnation() || listed.GetState() != member.GetState()
}

// resend repeats the deltas to an agent that reports older versions than those of
// this balancer.
func (m *Model) resend(now time.Time, id ConnID, a *agent) {
	l := m.links[id]
	if l == nil || now.Sub(l.resentAt) < resendInterval {
		return
	}
	behind := a.intentRevision < m.document.Revision || a.rosterVersion < uint64(m.roster.Version)
	if !behind {
		return
	}
	l.resentAt = now
	l.intentRevision = a.intentRevision
	l.rosterVersion = roster.Version(a.rosterVersion)
	m.pushTo(id, l)
}

// tickAgents reports targets whose heartbeats have stopped to the registrar:
// first as suspect, so that their buckets get another home, later as lapsed.
func (m *Model) tickAgents(now time.Time) {
	for id, a := range m.agents {
		silence := now.Sub(a.lastReceived)
		switch {
		case silence > lapseTimeout:
			m.stats.Lapses++
			m.sendClaim(a.member, true)
			delete(m.agents, id)
		case silence > suspectTimeout && !a.suspect:
			a.suspect = true
			m.sendClaim(asSuspect(a.member), false)
		}
	}
}

// handleAgentClosed shortens the time until the agent of a closed connection is
// suspect, and with it the time until it lapses.
func (m *Model) handleAgentClosed(now time.Time, c ConnID) {
	for _, a := range m.agents {
		if a.conn == c {
			early := now.Add(closedSuspectTimeout - suspectTimeout)
			if a.lastReceived.After(early) {
				a.lastReceived = early
			}
		}
	}
}

func asSuspect(member *controlpb.Member) *controlpb.Member {
	c := proto.CloneOf(member)
	c.State = controlpb.MemberState_MEMBER_STATE_SUSPECT
	return c
}

// sendClaim reports the state of a member, or that it has lapsed, to the
// registrar.
func (m *Model) sendClaim(member *controlpb.Member, lapsed bool) {
	c := &controlpb.Claim{
		Member:   member,
		Balancer: m.config.Name,
		Lapsed:   lapsed,
	}
	if m.registrar != nil {
		m.handleClaim(c)
		return
	}
	m.sendToRegistrar(&controlpb.Envelope{
		Body: &controlpb.Envelope_Claim{
			Claim: c,
		},
	})
}

// sendAllClaims claims this balancer and its agents for a registrar that is new, was
// unreachable or requests it. A suspect agent is claimed as such: the registrar ignores the
// claim if the agent has moved to another balancer.
func (m *Model) sendAllClaims() {
	m.sendClaim(m.ownMember(), false)
	for _, a := range m.agents {
		if a.suspect {
			m.sendClaim(asSuspect(a.member), false)
		} else {
			m.sendClaim(a.member, false)
		}
	}
}

// ownMember returns this balancer's own entry for the roster.
func (m *Model) ownMember() *controlpb.Member {
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

func (m *Model) sendPing(now time.Time) {
	if now.Sub(m.pingSentAt) < m.pingInterval() {
		return
	}
	m.pingSentAt = now
	p := &controlpb.Ping{
		Name:           m.config.Name,
		Domain:         m.config.Domain,
		IntentRevision: m.document.Revision,
		RosterVersion:  uint64(m.roster.Version),
		Agents:         uint32(len(m.agents)),
		AgentsRevision: m.agentsRevision(),
	}
	if m.registrar != nil {
		m.handlePing(now, p)
		m.sendClaim(m.ownMember(), false)
		return
	}
	if m.rosterDiffers(m.ownMember()) {
		m.sendClaim(m.ownMember(), false)
	}
	m.sendToRegistrar(&controlpb.Envelope{
		Body: &controlpb.Envelope_Ping{
			Ping: p,
		},
	})
}

// agentsRevision returns the lowest revision of the declared state that is in force
// at this balancer or one of its agents.
func (m *Model) agentsRevision() uint64 {
	r := m.document.Revision
	for _, a := range m.agents {
		r = min(r, a.intentRevision)
	}
	return r
}

// sendToRegistrar sends on the connection to the registrar, if there is one.
func (m *Model) sendToRegistrar(e *controlpb.Envelope) {
	for id, l := range m.links {
		if l.toRegistrar && l.hello.GetName() == m.heartbeat.GetHolder() {
			m.send(id, e)
			return
		}
	}
}
