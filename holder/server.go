package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// server is what an agent knows about its backend server.
type server struct {
	// announced is set once the present life of the backend server has spoken.
	announced   bool
	id          target.ID
	incarnation uint64
	sequence    uint64
	slots       uint32
	// ready is set while the backend server takes new flows.
	ready    bool
	draining bool
	// deregistered is set once it has said farewell.
	deregistered bool
	// exited is set when its process is known to have ended.
	exited bool
	// noEarlierFlows is set when no earlier agent process gave flows to this life.
	noEarlierFlows bool
	// earlierRecord is the life that an earlier agent process had recorded, once
	// earlierKnown is set; recorded is the life that is recorded now.
	earlierRecord       uint64
	earlierRecordRead   bool
	recordedIncarnation uint64
	coldUntil           time.Time
	// lostFlow is set when it has returned a packet of an open flow since its latest
	// heartbeat.
	lostFlow bool
	// waitingSince is when this agent began to wait for the backend server.
	waitingSince time.Time
	// lastHeartbeat is the latest heartbeat, sentAt the latest packet, and probedAt the
	// latest probe that was asked for.
	lastHeartbeat time.Time
	lastPacket    time.Time
	lastProbe     time.Time
	// silent is set while it answers neither packets nor probes.
	silent bool
	// absent is set when it has not been heard at all since this agent started,
	// and a probe found nobody: no flow lives there.
	absent bool
}

const (
	// staleIncarnationTimeout is the silence after which a heartbeat with an earlier time
	// of birth is believed: the time of day may have jumped back before the
	// backend server started again.
	staleIncarnationTimeout = 3 * time.Second
	// startProbePeriod is the time between probes until the first good answer.
	startProbePeriod = 150 * time.Millisecond
	// configTimeout is the time in which the first probe waits for the path of
	// the health answer, which is declared.
	configTimeout = 500 * time.Millisecond
	// fastProbeDuration is the time after which those probes become rare.
	fastProbeDuration = 4 * time.Second
	slowProbePeriod   = time.Second
	// silenceTimeout is the time without any packet from a backend server with
	// requests in work after which it is probed. A request takes tens of
	// milliseconds.
	silenceTimeout = 250 * time.Millisecond
	// silenceProbePeriod is the time between probes of a silent backend server.
	silenceProbePeriod = 300 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a backend server is
	// probed: two heartbeats and a half.
	heartbeatTimeout = 3 * time.Second
)

// mayBeCold reports whether the backend server may bear little now. Until it has said
// so itself to this process, it may; and when it has lost a flow, it may have started
// anew.
func (s *server) mayBeCold(now time.Time) bool {
	return now.Before(s.coldUntil) || !s.announced || s.lostFlow
}

// heartbeat takes what the backend server says of itself.
func (m *Model) heartbeat(now time.Time, x HeartbeatMsg) {
	s := &m.server
	switch {
	case !s.exited && x.Incarnation == s.incarnation && x.ID == s.id:
		if x.Sequence <= s.sequence {
			return
		}
	case x.Incarnation != 0 && x.Incarnation <= s.incarnation && now.Sub(s.lastHeartbeat) < staleIncarnationTimeout:
		m.stats.StaleHeartbeats++
		return
	default:
		m.newIncarnation(x)
	}
	was := m.availability()
	s.announced = true
	s.id = x.ID
	s.incarnation = x.Incarnation
	s.sequence = x.Sequence
	s.slots = x.Slots
	s.draining = x.Draining
	s.ready = !x.Draining
	s.exited = false
	s.deregistered = false
	s.silent = false
	s.lostFlow = false
	s.lastHeartbeat = now
	s.coldUntil = now.Add(x.ColdFor)
	m.compareIncarnations()
	m.reportChange(now, was)
}

// earlierRecord takes what an earlier agent process had recorded.
func (m *Model) earlierRecord(x EarlierRecordMsg) {
	s := &m.server
	if s.earlierRecordRead {
		return
	}
	s.earlierRecord = x.Incarnation
	s.earlierRecordRead = true
	m.compareIncarnations()
}

// compareIncarnations concludes that no flow is missing here when the backend server
// has started since an earlier agent process recorded it.
func (m *Model) compareIncarnations() {
	s := &m.server
	if s.announced && s.earlierRecordRead && s.earlierRecord != s.incarnation {
		s.noEarlierFlows = true
	}
}

// recorded opens the gate for a life that is recorded.
func (m *Model) recorded(now time.Time, x RecordedMsg) {
	was := m.availability()
	m.server.recordedIncarnation = x.Incarnation
	m.reportChange(now, was)
}

// newIncarnation ends the flows of an earlier life of the backend server.
func (m *Model) newIncarnation(x HeartbeatMsg) {
	s := &m.server
	if s.announced {
		m.resetAll(CauseBackendReplaced, s.lastHeartbeat)
		s.noEarlierFlows = true
	}
	if s.earlierRecordRead && s.earlierRecord == x.Incarnation {
		s.recordedIncarnation = x.Incarnation
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
	if !s.announced || x.ID != s.id {
		return
	}
	was := m.availability()
	s.ready = false
	s.draining = true
	s.deregistered = true
	m.reportChange(now, was)
}

// probed takes the result of a probe.
func (m *Model) probed(now time.Time, x ProbeMsg) {
	s := &m.server
	was := m.availability()
	switch x.Result {
	case ProbeRefused:
		if !s.exited && (s.announced || s.ready || len(m.flows) > 0) {
			m.resetAll(CauseBackendGone, s.lastProbe)
		}
		s.exited = true
		s.noEarlierFlows = true
		s.announced = false
		s.ready = false
		s.silent = false
	case ProbeReady:
		if !s.announced {
			s.ready = true
			s.exited = false
			s.draining = false
		}
		s.silent = false
	case ProbeAlive:
		s.silent = false
	case ProbeSilent:
		s.silent = now.Sub(s.lastPacket) > silenceTimeout
		s.absent = !m.BackendSeen()
	}
	m.reportChange(now, was)
}

// probeWhenSilent asks for probes while the backend server is not heard as expected.
func (m *Model) probeWhenSilent(now time.Time) {
	s := &m.server
	switch {
	case !s.announced && !s.ready && !m.configured && now.Sub(m.startedAt) < configTimeout:
	case !s.announced && !s.ready:
		m.probe(now, m.startProbeInterval(now), true)
	case m.load.requestsPending() && now.Sub(s.lastPacket) > silenceTimeout && now.Sub(m.load.busySince) > silenceTimeout:
		m.probe(now, silenceProbePeriod, false)
	case s.announced && now.Sub(s.lastHeartbeat) > heartbeatTimeout:
		m.probe(now, silenceProbePeriod, false)
	}
}

// startProbeInterval is short at first; an instance may also run without a backend
// server for long.
func (m *Model) startProbeInterval(now time.Time) time.Duration {
	if now.Sub(m.startedAt) < fastProbeDuration {
		return startProbePeriod
	}
	return slowProbePeriod
}

// BackendSeen reports whether the backend server has been heard since this agent
// started, in any way.
func (m *Model) BackendSeen() bool {
	s := &m.server
	return s.ready || !s.lastHeartbeat.IsZero() || !s.lastPacket.IsZero()
}

func (m *Model) probe(now time.Time, period time.Duration, health bool) {
	if now.Sub(m.server.lastProbe) < period {
		return
	}
	m.server.lastProbe = now
	m.stats.Probes++
	m.emit(ProbeEffect{
		Health: health,
	})
}

// resumed treats what is known of the backend server as old.
func (m *Model) resumed(now time.Time) {
	m.server.announced = false
	m.server.ready = false
	m.coldBudget = target.NewColdBudget(now)
	m.reportToAll(now)
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
	m.reportToAll(now)
}
