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

func (m *Model) open(_ time.Time, x OpenMsg) {
	l := &link{
		hello:    x.Hello,
		revision: x.Hello.GetIntentRevision(),
		version:  roster.Version(x.Hello.GetRosterVersion()),
	}
	l.uplink = x.ToRegistrar
	m.links[x.Conn] = l
	if x.ToRegistrar {
		m.claimAll()
	}
	if !l.balancer() && !l.agent() {
		l.revision = math.MaxUint64
		l.version = math.MaxUint64
		return
	}
	m.pushTo(x.Conn, l)
	m.pull(x.Conn, l.revision, l.version)
	if m.beat.GetTerm() > 0 && l.balancer() {
		m.send(x.Conn, beatEnvelope(m.beat))
	}
}

func (m *Model) close(now time.Time, x CloseMsg) {
	l := m.links[x.Conn]
	delete(m.links, x.Conn)
	m.agentClosed(now, x.Conn)
	if l != nil && l.balancer() && m.linkTo(l.hello.GetName()) == nil {
		m.lost[l.hello.GetName()] = now
	}
}

func (m *Model) envelope(now time.Time, x EnvelopeMsg) {
	l := m.links[x.Conn]
	if l == nil {
		return
	}
	switch e := x.Envelope.GetBody().(type) {
	case *controlpb.Envelope_Announce:
		m.announce(now, x.Conn, e.Announce)
	case *controlpb.Envelope_Pulse:
		m.pulse(now, x.Conn, e.Pulse)
	case *controlpb.Envelope_Claim:
		m.claimed(e.Claim)
	case *controlpb.Envelope_Beat:
		m.heardBeat(now, x.Conn, e.Beat)
	case *controlpb.Envelope_Want:
		l.revision = e.Want.GetIntentRevision()
		l.version = roster.Version(e.Want.GetRosterVersion())
		m.pushTo(x.Conn, l)
	case *controlpb.Envelope_Intent:
		l.revision = max(l.revision, e.Intent.GetRevision())
		m.mergeIntent(e.Intent, x.Conn)
	case *controlpb.Envelope_Roster:
		l.version = max(l.version, roster.Version(e.Roster.GetVersion()))
		m.mergeRoster(e.Roster, x.Conn)
	case *controlpb.Envelope_Lost:
		m.reportedLost(now, e.Lost.GetBalancer())
	case *controlpb.Envelope_ClaimRequest:
		m.claimAll()
	case *controlpb.Envelope_Ping:
		m.pinged(now, e.Ping)
	case *controlpb.Envelope_StatusRequest:
		m.status(x.Conn)
	}
}

// heardBeat passes a new beat on and asks for what it promises.
func (m *Model) heardBeat(now time.Time, from ConnID, b *controlpb.Beat) {
	if !newerBeat(b, m.beat) {
		return
	}
	moved := b.GetHolder() != m.beat.GetHolder()
	m.beat = b
	m.beatenAt = now
	m.contend(now, leaseHeard(b))
	if moved {
		m.claimAll()
	}
	m.sendBeatTo(b, from)
	m.pull(from, b.GetIntentRevision(), roster.Version(b.GetRosterVersion()))
}

// sendBeatTo sends a beat to all balancers but one.
func (m *Model) sendBeatTo(b *controlpb.Beat, except ConnID) {
	for id, l := range m.links {
		if id != except && l.balancer() {
			m.send(id, beatEnvelope(b))
		}
	}
}

func newerBeat(a, b *controlpb.Beat) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetSequence() > b.GetSequence()
}

// pull asks a peer that knows something newer. Agents hold only a part, so
// nothing is pulled from them unless this balancer knows nothing at all.
func (m *Model) pull(from ConnID, revision uint64, version roster.Version) {
	l := m.links[from]
	if l == nil || l.agent() {
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

func (m *Model) mergeIntent(x *controlpb.Intent, from ConnID) {
	changed, err := m.document.Merge(x)
	if errors.Is(err, intent.ErrGap) {
		m.stats.Gaps++
		m.pull(from, x.GetRevision(), 0)
		return
	}
	if !changed {
		return
	}
	m.rebuild(m.affected(x))
	m.pushIntent()
}

// affected lists the services whose tables an intent delta may change.
func (m *Model) affected(x *controlpb.Intent) []string {
	names := map[string]bool{}
	for _, s := range x.GetServices() {
		names[s.GetName()] = true
	}
	for _, t := range x.GetTargets() {
		if r := m.roster.Member(t.GetTarget()); r != nil {
			names[r.GetService()] = true
		}
	}
	domains := map[string]bool{}
	for _, d := range x.GetDomains() {
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

func (m *Model) mergeRoster(x *controlpb.Roster, from ConnID) {
	touched, err := m.roster.Merge(x)
	if errors.Is(err, roster.ErrGap) {
		m.stats.Gaps++
		m.pull(from, 0, roster.Version(x.GetVersion()))
		return
	}
	if touched == nil {
		return
	}
	m.rebuild(withoutInstances(touched))
	m.rosterDirty = true
}

func withoutInstances(names []string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == roster.InstanceService })
}

// pushIntent sends every peer what it lacks of the declared state, at once.
func (m *Model) pushIntent() {
	for id, l := range m.links {
		m.pushIntentTo(id, l)
	}
}

// pushRoster sends every peer what it lacks of the roster. It runs once a tick,
// so that a burst of changes makes one delta, and neighbours that stand at the
// same version share it.
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
		x := shared[l.version]
		if x == nil && l.version < m.roster.Version {
			x = m.roster.Since(l.version, "")
			shared[l.version] = x
		}
		m.pushRosterTo(id, l, x)
	}
}

func (m *Model) pushTo(id ConnID, l *link) {
	m.pushIntentTo(id, l)
	m.pushRosterTo(id, l, nil)
}

func (m *Model) pushIntentTo(id ConnID, l *link) {
	if l.revision >= m.document.Revision {
		return
	}
	m.send(id, &controlpb.Envelope{
		Body: &controlpb.Envelope_Intent{
			Intent: m.intentFor(l),
		},
	})
	l.revision = m.document.Revision
}

// pushRosterTo sends a delta; nil makes a new one.
func (m *Model) pushRosterTo(id ConnID, l *link, x *controlpb.Roster) {
	if l.version >= m.roster.Version {
		return
	}
	if x == nil {
		x = m.roster.Since(l.version, l.hello.GetService())
	}
	m.send(id, &controlpb.Envelope{
		Body: &controlpb.Envelope_Roster{
			Roster: x,
		},
	})
	l.version = m.roster.Version
}

// intentFor leaves out the services that an agent does not serve.
func (m *Model) intentFor(l *link) *controlpb.Intent {
	x := m.document.Since(l.revision)
	if n := l.hello.GetService(); n != "" {
		x.Services = slices.DeleteFunc(x.Services, func(s *controlpb.Service) bool { return s.GetName() != n })
		x.Operations = nil
	}
	return x
}

func (m *Model) send(id ConnID, e *controlpb.Envelope) {
	m.emit(SendEffect{
		Conn:     id,
		Envelope: e,
	})
}

func beatEnvelope(b *controlpb.Beat) *controlpb.Envelope {
	return &controlpb.Envelope{
		Body: &controlpb.Envelope_Beat{
			Beat: b,
		},
	}
}
