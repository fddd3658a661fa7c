package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
)

func (m *Model) handleOpen(_ time.Time, msg OpenMsg) {
	l := &link{
		hello:          msg.Hello,
		intentRevision: msg.Hello.GetIntentRevision(),
		rosterVersion:  roster.Version(msg.Hello.GetRosterVersion()),
	}
	l.toRegistrar = msg.ToRegistrar
	m.links[msg.Conn] = l
	if msg.ToRegistrar {
		m.sendAllClaims()
	}
	if !l.isNeighbour() && !l.isAgent() {
		// Nothing is pushed on other connections unless the peer sends a Want.
		l.intentRevision = math.MaxUint64
		l.rosterVersion = math.MaxUint64
		return
	}
	m.pushTo(msg.Conn, l)
	m.requestNewer(msg.Conn, l.intentRevision, l.rosterVersion)
	if m.heartbeat.GetTerm() > 0 && l.isNeighbour() {
		m.send(msg.Conn, heartbeatEnvelope(m.heartbeat))
	}
}

func (m *Model) handleClose(now time.Time, msg CloseMsg) {
	l := m.links[msg.Conn]
	delete(m.links, msg.Conn)
	m.handleAgentClosed(now, msg.Conn)
	if l != nil && l.isNeighbour() && m.neighbourConn(l.hello.GetName()) == nil {
		m.lostNeighbours[l.hello.GetName()] = now
	}
}

func (m *Model) handleEnvelope(now time.Time, msg EnvelopeMsg) {
	l := m.links[msg.Conn]
	if l == nil {
		return
	}
	switch e := msg.Envelope.GetBody().(type) {
	case *controlpb.Envelope_Announce:
		m.handleAnnounce(now, msg.Conn, e.Announce)
	case *controlpb.Envelope_Pulse:
		m.handlePulse(now, msg.Conn, e.Pulse)
	case *controlpb.Envelope_Claim:
		m.handleClaim(e.Claim)
	case *controlpb.Envelope_Beat:
		m.handleHeartbeat(now, msg.Conn, e.Beat)
	case *controlpb.Envelope_Want:
		l.intentRevision = e.Want.GetIntentRevision()
		l.rosterVersion = roster.Version(e.Want.GetRosterVersion())
		m.pushTo(msg.Conn, l)
	case *controlpb.Envelope_Intent:
		l.intentRevision = max(l.intentRevision, e.Intent.GetRevision())
		m.mergeIntent(e.Intent, msg.Conn)
	case *controlpb.Envelope_Roster:
		l.rosterVersion = max(l.rosterVersion, roster.Version(e.Roster.GetVersion()))
		m.mergeRoster(e.Roster, msg.Conn)
	case *controlpb.Envelope_Lost:
		m.handleLost(now, e.Lost.GetBalancer())
	case *controlpb.Envelope_ClaimRequest:
		m.sendAllClaims()
	case *controlpb.Envelope_Ping:
		m.handlePing(now, e.Ping)
	case *controlpb.Envelope_StatusRequest:
		m.sendStatus(msg.Conn)
	}
}

// handleHeartbeat broadcasts a heartbeat that is newer than the latest one, and
// requests the state that it refers to if this balancer lacks it. If the registrar
// is another one, it repeats all claims.
func (m *Model) handleHeartbeat(now time.Time, from ConnID, b *controlpb.Beat) {
	if !newerHeartbeat(b, m.heartbeat) {
		return
	}
	moved := b.GetHolder() != m.heartbeat.GetHolder()
	m.heartbeat = b
	m.heartbeatReceivedAt = now
	m.updateLease(now, leaseHeartbeat(b))
	if moved {
		m.sendAllClaims()
	}
	m.broadcastHeartbeat(b, from)
	m.requestNewer(from, b.GetIntentRevision(), roster.Version(b.GetRosterVersion()))
}

// broadcastHeartbeat sends a heartbeat to all neighbours except one.
func (m *Model) broadcastHeartbeat(b *controlpb.Beat, except ConnID) {
	for id, l := range m.links {
		if id != except && l.isNeighbour() {
			m.send(id, heartbeatEnvelope(b))
		}
	}
}

func newerHeartbeat(a, b *controlpb.Beat) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetSequence() > b.GetSequence()
}

// requestNewer requests declared state and roster from a peer that has newer ones.
// Nothing is requested from agents, because they hold only a part.
func (m *Model) requestNewer(from ConnID, revision uint64, version roster.Version) {
	l := m.links[from]
	if l == nil || l.isAgent() {
		return
	}
	if revision > m.document.Revision || version > m.roster.Version {
		m.send(from, &controlpb.Envelope{
			Body: &controlpb.Envelope_Want{
				Want: &controlpb.Want{
					IntentRevision: m.document.Revision,
					RosterVersion:  uint64(m.roster.Version),
				},
			},
		})
	}
}

func (m *Model) mergeIntent(delta *controlpb.Intent, from ConnID) {
	changed, err := m.document.Merge(delta)
	if errors.Is(err, intent.ErrGap) {
		m.stats.Gaps++
		m.requestNewer(from, delta.GetRevision(), 0)
		return
	}
	if !changed {
		return
	}
	m.rebuild(m.affectedServices(delta))
	m.pushIntent()
}

// affectedServices returns the services whose tables an intent delta may change.
func (m *Model) affectedServices(delta *controlpb.Intent) []string {
	names := map[string]bool{}
	for _, s := range delta.GetServices() {
		names[s.GetName()] = true
	}
	for _, t := range delta.GetTargets() {
		if r := m.roster.Member(t.GetTarget()); r != nil {
			names[r.GetService()] = true
		}
	}
	domains := map[string]bool{}
	for _, d := range delta.GetDomains() {
		domains[d.GetName()] = true
	}
	if len(domains) > 0 {
		for _, r := range m.roster.Members() {
			if domains[r.GetDomain()] {
				names[r.GetService()] = true
			}
		}
	}
	delete(names, roster.InstanceService)
	return slices.Sorted(maps.Keys(names))
}

func (m *Model) mergeRoster(delta *controlpb.Roster, from ConnID) {
	touched, err := m.roster.Merge(delta)
	if errors.Is(err, roster.ErrGap) {
		m.stats.Gaps++
		m.requestNewer(from, 0, roster.Version(delta.GetVersion()))
		return
	}
	if touched == nil {
		return
	}
	m.rebuild(withoutInstanceService(touched))
	m.rosterDirty = true
}

func withoutInstanceService(names []string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == roster.InstanceService })
}

// pushIntent sends neighbours and agents the changes of the declared state that they
// lack, without waiting for the next tick.
func (m *Model) pushIntent() {
	for id, l := range m.links {
		m.pushIntentTo(id, l)
	}
}

// pushRoster sends neighbours and agents the changes of the roster that they lack.
// It runs once a tick, so that a burst of changes makes one delta, and neighbours at
// the same version share the delta.
func (m *Model) pushRoster() {
	if !m.rosterDirty {
		return
	}
	m.rosterDirty = false
	shared := map[roster.Version]*controlpb.Roster{}
	for id, l := range m.links {
		if l.hello.GetService() != "" {
			m.pushRosterTo(id, l, nil)
			continue
		}
		delta := shared[l.rosterVersion]
		if delta == nil && l.rosterVersion < m.roster.Version {
			delta = m.roster.Since(l.rosterVersion, "")
			shared[l.rosterVersion] = delta
		}
		m.pushRosterTo(id, l, delta)
	}
}

func (m *Model) pushTo(id ConnID, l *link) {
	m.pushIntentTo(id, l)
	m.pushRosterTo(id, l, nil)
}

func (m *Model) pushIntentTo(id ConnID, l *link) {
	if l.intentRevision >= m.document.Revision {
		return
	}
	m.send(id, &controlpb.Envelope{
		Body: &controlpb.Envelope_Intent{
			Intent: m.intentFor(l),
		},
	})
	l.intentRevision = m.document.Revision
}

// pushRosterTo sends a delta of the roster to a peer that lacks it; nil builds one
// for the peer.
func (m *Model) pushRosterTo(id ConnID, l *link, delta *controlpb.Roster) {
	if l.rosterVersion >= m.roster.Version {
		return
	}
	if delta == nil {
		delta = m.roster.Since(l.rosterVersion, l.hello.GetService())
	}
	m.send(id, &controlpb.Envelope{
		Body: &controlpb.Envelope_Roster{
			Roster: delta,
		},
	})
	l.rosterVersion = m.roster.Version
}

// intentFor returns the changes of the declared state that a peer lacks. For an
// agent it leaves out all operations, and the services that the agent does not
// serve.
func (m *Model) intentFor(l *link) *controlpb.Intent {
	delta := m.document.Since(l.intentRevision)
	if n := l.hello.GetService(); n != "" {
		delta.Services = slices.DeleteFunc(delta.Services, func(s *controlpb.Service) bool { return s.GetName() != n })
		delta.Operations = nil
	}
	return delta
}

func (m *Model) send(id ConnID, e *controlpb.Envelope) {
	m.emit(SendEffect{
		Conn:     id,
		Envelope: e,
	})
}

func heartbeatEnvelope(b *controlpb.Beat) *controlpb.Envelope {
	return &controlpb.Envelope{
		Body: &controlpb.Envelope_Beat{
			Beat: b,
		},
	}
}
