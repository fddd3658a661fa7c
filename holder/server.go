package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// server is what an agent knows about its backend server.
type server struct {
	// known is set once the present life of the backend server has spoken.
	known    bool
	id       target.ID
	born     uint64
	sequence uint64
	slots    uint32
	// ready is set while the backend server takes new flows.
	ready    bool
	draining bool
	// left is set once it has said farewell.
	left bool
	// gone is set when its process is known to have ended.
	gone bool
	// fresh is set when no earlier agent process gave flows to this life.
	fresh bool
	// earlier is the life that an earlier agent process had recorded, once
	// earlierKnown is set; recorded is the life that is recorded now.
	earlier      uint64
	earlierKnown bool
	recorded     uint64
	coldUntil    time.Time
	// forgetful is set when it has returned a packet of an open flow since its latest
	// heartbeat.
	forgetful bool
	// bornAt is when this agent began to wait for the backend server.
	bornAt time.Time
	// beatAt is the latest heartbeat, sentAt the latest packet, and probedAt the
	// latest probe that was asked for.
	beatAt   time.Time
	sentAt   time.Time
	probedAt time.Time
	// silent is set while it answers neither packets nor probes.
	silent bool
	// absent is set when it has not been heard at all since this agent started,
	// and a probe found nobody: no flow lives there.
	absent bool
}

const (
	// staleBornLimit is the silence after which a heartbeat with an earlier time
	// of birth is believed: the time of day may have jumped back before the
	// backend server started again.
	staleBornLimit = 3 * time.Second
	// startProbePeriod is the time between probes until the first good answer.
	startProbePeriod = 150 * time.Millisecond
	// configPatience is the time in which the first probe waits for the path of
	// the health answer, which is declared.
	configPatience = 500 * time.Millisecond
	// startProbeTime is the time after which those probes become rare.
	startProbeTime  = 4 * time.Second
	slowProbePeriod = time.Second
	// silenceLimit is the time without any packet from a backend server with
	// requests in work after which it is probed. A request takes tens of
	// milliseconds.
	silenceLimit = 250 * time.Millisecond
	// silenceProbePeriod is the time between probes of a silent backend server.
	silenceProbePeriod = 300 * time.Millisecond
	// beatLimit is the time without a heartbeat after which a backend server is
	// probed: two heartbeats and a half.
	beatLimit = 3 * time.Second
)

// mayBeCold reports whether the backend server may bear little now. Until it has said
// so itself to this process, it may; and when it has lost a flow, it may have started
// anew.
func (s *server) mayBeCold(now time.Time) bool {
	return now.Before(s.coldUntil) || !s.known || s.forgetful
}

// heartbeat takes what the backend server says of itself.
func (m *Model) heartbeat(now time.Time, x HeartbeatMsg) {
	s := &m.server
	switch {
	case !s.gone && x.Incarnation == s.born && x.ID == s.id:
		if x.Sequence <= s.sequence {
			return
		}
	case x.Incarnation != 0 && x.Incarnation <= s.born && now.Sub(s.beatAt) < staleBornLimit:
		m.stats.StaleHeartbeats++
		return
	default:
		m.newLife(x)
	}
	was := m.availability()
	s.known = true
	s.id = x.ID
	s.born = x.Incarnation
	s.sequence = x.Sequence
	s.slots = x.Slots
	s.draining = x.Draining
	s.ready = !x.Draining
	s.gone = false
	s.left = false
	s.silent = false
	s.forgetful = false
	s.beatAt = now
	s.coldUntil = now.Add(x.ColdFor)
	m.compareLives()
	m.reportChange(now, was)
}

// record takes what an earlier agent process had recorded.
func (m *Model) record(x EarlierRecordMsg) {
	s := &m.server
	if s.earlierKnown {
		return
	}
	s.earlier = x.Incarnation
	s.earlierKnown = true
	m.compareLives()
}

// compareLives concludes that no flow is missing here when the backend server
// has started since an earlier agent process recorded it.
func (m *Model) compareLives() {
	s := &m.server
	if s.known && s.earlierKnown && s.earlier != s.born {
		s.fresh = true
	}
}

// recorded opens the gate for a life that is recorded.
func (m *Model) recorded(now time.Time, x RecordedMsg) {
	was := m.availability()
	m.server.recorded = x.Incarnation
	m.reportChange(now, was)
}

// newLife ends the flows of an earlier life of the backend server.
func (m *Model) newLife(x HeartbeatMsg) {
	s := &m.server
	if s.known {
		m.resetAll(CauseBackendReplaced, s.beatAt)
		s.fresh = true
	}
	if s.earlierKnown && s.earlier == x.Incarnation {
		s.recorded = x.Incarnation
	} else {
		m.emit(RecordEffect{
			Incarnation: x.Incarnation,
		})
	}
	m.emit(LogEffect{
		Event: "backend server " + string(x.ID) + " announced itself",
		Count: len(m.flows),
	})
}

// deregister closes the gate of a backend server that ends now. Its flows end
// when its process is seen to be gone.
func (m *Model) deregister(now time.Time, x DeregisterMsg) {
	s := &m.server
	if !s.known || x.ID != s.id {
		return
	}
	was := m.availability()
	s.ready = false
	s.draining = true
	s.left = true
	m.reportChange(now, was)
}

// probed takes the result of a probe.
func (m *Model) probed(now time.Time, x ProbeMsg) {
	s := &m.server
	was := m.availability()
	switch x.Result {
	case ProbeRefused:
		if !s.gone && (s.known || s.ready || len(m.flows) > 0) {
			m.resetAll(CauseBackendGone, s.probedAt)
		}
		s.gone = true
		s.fresh = true
		s.known = false
		s.ready = false
		s.silent = false
	case ProbeReady:
		if !s.known {
			s.ready = true
			s.gone = false
			s.draining = false
		}
		s.silent = false
	case ProbeAlive:
		s.silent = false
	case ProbeSilent:
		s.silent = now.Sub(s.sentAt) > silenceLimit
		s.absent = !m.BackendSeen()
	}
	m.reportChange(now, was)
}

// watch asks for probes while the backend server is not heard as expected.
func (m *Model) watch(now time.Time) {
	s := &m.server
	switch {
	case !s.known && !s.ready && !m.configured && now.Sub(m.started) < configPatience:
	case !s.known && !s.ready:
		m.probe(now, m.startProbePause(now), true)
	case m.load.waiting() && now.Sub(s.sentAt) > silenceLimit && now.Sub(m.load.since) > silenceLimit:
		m.probe(now, silenceProbePeriod, false)
	case s.known && now.Sub(s.beatAt) > beatLimit:
		m.probe(now, silenceProbePeriod, false)
	}
}

// startProbePause is short at first; an instance may also run without a backend
// server for long.
func (m *Model) startProbePause(now time.Time) time.Duration {
	if now.Sub(m.started) < startProbeTime {
		return startProbePeriod
	}
	return slowProbePeriod
}

// BackendSeen reports whether the backend server has been heard since this agent
// started, in any way.
func (m *Model) BackendSeen() bool {
	s := &m.server
	return s.ready || !s.beatAt.IsZero() || !s.sentAt.IsZero()
}

func (m *Model) probe(now time.Time, period time.Duration, health bool) {
	if now.Sub(m.server.probedAt) < period {
		return
	}
	m.server.probedAt = now
	m.stats.Probes++
	m.emit(ProbeEffect{
		Health: health,
	})
}

// woken treats what is known of the backend server as old.
func (m *Model) woken(now time.Time) {
	m.server.known = false
	m.server.ready = false
	m.cold = target.NewColdBudget(now)
	m.tellAll(now)
}

// reportChange tells balancers when new flows are taken or refused from now on.
func (m *Model) reportChange(now time.Time, was Availability) {
	is := m.availability()
	if is == was {
		return
	}
	m.emit(LogEffect{
		Event: "availability is " + is.String(),
		Count: len(m.flows),
	})
	m.tellAll(now)
}
