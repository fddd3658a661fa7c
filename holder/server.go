package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

// server is what an agent knows about its backend server.
type server struct {
	// announced is set once the present incarnation of the backend server has sent a
	// heartbeat; it is cleared when the agent was paused or the backend server exited.
	announced   bool
	id          target.ID
	incarnation uint64
	sequence    uint64
	// firstSequence is the sequence number of the first heartbeat of the present incarnation
	// that this process received, and firstColdFor the remaining cold time in it.
	firstSequence uint64
	firstColdFor  time.Duration
	// heartbeats is the number of heartbeats of the present incarnation that this process
	// has received.
	heartbeats uint64
	// unrecordedLogged is set once it was logged that the present incarnation may have been
	// served without a record.
	unrecordedLogged bool
	slots            uint32
	// ready is set by a heartbeat that is not draining, or by a good health response while
	// announced is not set. New flows also depend on mayOpen and on the load.
	ready    bool
	draining bool
	// deregistered is set once the backend server has announced that it stops.
	deregistered bool
	// exited is set while the backend server's process is known to have ended.
	exited bool
	// noEarlierFlows is set when no earlier agent process sent flows to the present
	// incarnation.
	noEarlierFlows bool
	// earlierRecord is the incarnation that an earlier agent process wrote to the
	// registry. It is valid once earlierRecordRead is set.
	earlierRecord     uint64
	earlierRecordRead bool
	// recordedIncarnation is the incarnation of the latest RecordedMsg, or the one that
	// an earlier agent process wrote to the registry if that incarnation still runs.
	recordedIncarnation uint64
	coldUntil           time.Time
	// lostFlow is set when the backend server has returned a packet of an open flow that was
	// not idle since its latest heartbeat.
	lostFlow bool
	// lastHeartbeat and lastPacket are when the latest heartbeat and packet came from
	// the backend server, and lastProbe is when the latest probe was started.
	lastHeartbeat time.Time
	lastPacket    time.Time
	lastProbe     time.Time
	// silent is set by a probe without a response if the latest packet is older than
	// silenceTimeout. The next heartbeat clears it, or the next probe that gets a response
	// or finds a packet within silenceTimeout.
	silent bool
	// absent is set when nothing has been received from the backend server since this
	// agent started, and a probe got no response: it holds no flows.
	absent bool
}

const (
	// staleIncarnationTimeout is the time without a heartbeat after which one of a lower
	// incarnation, or of one that has exited, is accepted: the time of day may have jumped
	// back before the backend server started again.
	staleIncarnationTimeout = 3 * time.Second
	// fastProbeInterval is the time between probes of a backend server that is not known
	// to run; see startProbeInterval.
	fastProbeInterval = 150 * time.Millisecond
	// configTimeout is the time for which the first probe waits for the configuration,
	// which declares the path of the health request.
	configTimeout = 500 * time.Millisecond
	// fastProbeDuration is the time after the start of the agent after which
	// slowProbeInterval replaces fastProbeInterval.
	fastProbeDuration = 4 * time.Second
	slowProbeInterval = time.Second
	// silenceTimeout is the time without any packet from a backend server with
	// requests in flight after which it is probed. A request takes tens of
	// milliseconds.
	silenceTimeout = 250 * time.Millisecond
	// silenceProbeInterval is the time between probes of a silent backend server.
	silenceProbeInterval = 300 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a backend server is
	// probed: two and a half heartbeat intervals.
	heartbeatTimeout = 3 * time.Second
)

// mayBeCold reports whether the backend server is cold by its latest heartbeat, or may
// be: it may until its first heartbeat since this process started or resumed, and when
// it has lost a flow, because it may have restarted.
func (s *server) mayBeCold(now time.Time) bool {
	return now.Before(s.coldUntil) || !s.announced || s.lostFlow
}

// handleHeartbeat handles a heartbeat of the backend server. One that does not state its
// incarnation is ignored: it does not show that the present one has ended.
func (m *Model) handleHeartbeat(now time.Time, msg HeartbeatMsg) {
	s := &m.server
	switch {
	case msg.Incarnation == 0:
		m.stats.StaleHeartbeats++
		return
	case !s.exited && msg.Incarnation == s.incarnation && msg.ID == s.id:
		if msg.Sequence <= s.sequence {
			return
		}
	case msg.Incarnation <= s.incarnation && now.Sub(s.lastHeartbeat) < staleIncarnationTimeout,
		m.precedesRecord(msg.Incarnation) && now.Sub(m.startedAt) < staleIncarnationTimeout:
		m.stats.StaleHeartbeats++
		return
	default:
		m.newIncarnation(now, msg)
	}
	previous := m.availability()
	s.announced = true
	s.heartbeats++
	s.id = msg.ID
	s.incarnation = msg.Incarnation
	s.sequence = msg.Sequence
	s.slots = msg.Slots
	s.draining = msg.Draining
	s.ready = !msg.Draining
	s.exited = false
	s.deregistered = false
	s.silent = false
	s.lostFlow = false
	s.lastHeartbeat = now
	s.coldUntil = now.Add(msg.ColdFor)
	m.compareIncarnations()
	m.reportChange(now, previous)
}

// handleEarlierRecord takes the incarnation that an earlier agent process wrote to the
// registry.
func (m *Model) handleEarlierRecord(now time.Time, msg EarlierRecordMsg) {
	s := &m.server
	if s.earlierRecordRead {
		return
	}
	previous := m.availability()
	s.earlierRecord = msg.Incarnation
	s.earlierRecordRead = true
	if s.announced && m.precedesRecord(s.incarnation) {
		// The heartbeat was delayed: a later incarnation had already been recorded. The
		// next heartbeat shows which one runs.
		s.announced = false
		s.ready = false
	}
	m.compareIncarnations()
	m.reportChange(now, previous)
}

// precedesRecord reports whether an earlier agent process recorded a later incarnation of
// the backend server than this one.
func (m *Model) precedesRecord(incarnation uint64) bool {
	return m.server.earlierRecordRead && incarnation != 0 && incarnation < m.server.earlierRecord
}

// UnrecordedDelay is the time from the first heartbeat of an incarnation after which its agent
// serves it without a record, as the registry may be unavailable for long.
const UnrecordedDelay = 1500 * time.Millisecond

// maxUnservedSequence is the highest sequence number of a first heartbeat that shows that no
// earlier agent process sent flows to the incarnation without a record of it. An agent receives
// as many heartbeats of an incarnation before it serves it without a record, so its next process
// receives a later one.
const maxUnservedSequence = 2

// maxYoungSequence is the highest sequence number of a first heartbeat whose remaining cold time
// is taken for the age of the backend server. One that turns cold again has sent more.
const maxYoungSequence = 10

// unserved reports whether no earlier agent process can have sent flows to the present
// incarnation without a record of it: by the number of its first heartbeat, or because the
// backend server was younger than UnrecordedDelay then. After a loss of power, it repeats its
// first heartbeats many times a second until its agent has started.
func (m *Model) unserved() bool {
	s := &m.server
	if s.firstSequence <= maxUnservedSequence {
		return true
	}
	age := m.declared.WarmUp - s.firstColdFor
	return s.firstSequence <= maxYoungSequence && s.firstColdFor > 0 && age >= 0 && age < UnrecordedDelay
}

// compareIncarnations concludes that no flow is missing from the table when the backend server
// has started after an earlier agent process wrote its record. A missing or older record alone
// does not show this: while the registry is unavailable, agents serve without one.
func (m *Model) compareIncarnations() {
	s := &m.server
	if !s.announced || !s.earlierRecordRead || s.earlierRecord == s.incarnation || s.noEarlierFlows {
		return
	}
	if !m.unserved() {
		if !s.unrecordedLogged {
			s.unrecordedLogged = true
			m.emit(LogEffect{
				Event: "backend server has no record, but may have been served without one; unknown flows may be open",
				Count: len(m.flows),
			})
		}
		return
	}
	s.noEarlierFlows = true
	// No earlier process has spent the cold rate of this incarnation.
	m.coldBudget.MarkUnspent()
	m.emit(LogEffect{
		Event: "backend server has started after the last record; unknown flows have ended",
		Count: len(m.flows),
	})
}

// handleRecorded allows new flows for an incarnation of the backend server. Without a record,
// it waits for as many heartbeats as maxUnservedSequence requires.
func (m *Model) handleRecorded(now time.Time, msg RecordedMsg) {
	s := &m.server
	if msg.Failed && (msg.Incarnation != s.incarnation || s.heartbeats < maxUnservedSequence) {
		return
	}
	previous := m.availability()
	s.recordedIncarnation = msg.Incarnation
	m.reportChange(now, previous)
}

// newIncarnation resets the flows of an earlier incarnation of the backend server and
// has the new one written to the registry, unless it is there already. The flows are kept
// if this is the first heartbeat since this process started, or if an earlier process
// recorded the same incarnation: the previous heartbeat was delayed then.
func (m *Model) newIncarnation(now time.Time, msg HeartbeatMsg) {
	s := &m.server
	recorded := s.earlierRecordRead && s.earlierRecord == msg.Incarnation
	m.dropHints(now, msg.Incarnation)
	if !s.lastHeartbeat.IsZero() && !recorded {
		m.resetAll(now, CauseBackendReplaced, s.lastHeartbeat)
		m.forgetOutcomes(now)
		s.noEarlierFlows = true
	}
	if recorded {
		s.recordedIncarnation = msg.Incarnation
	} else {
		m.emit(RecordEffect{
			Incarnation: msg.Incarnation,
		})
	}
	s.firstSequence = msg.Sequence
	s.firstColdFor = msg.ColdFor
	s.heartbeats = 0
	s.unrecordedLogged = false
	m.emit(LogEffect{
		Event: "first heartbeat of backend server " + string(msg.ID) + " was received",
		Count: len(m.flows),
	})
}

// handleDeregister stops new flows to a backend server that is stopping. Its flows end
// when a probe finds that its process has exited. A delayed message of an earlier
// incarnation with the same ID is ignored.
func (m *Model) handleDeregister(now time.Time, msg DeregisterMsg) {
	s := &m.server
	if !s.announced || msg.ID != s.id || (msg.Incarnation != 0 && msg.Incarnation != s.incarnation) {
		return
	}
	previous := m.availability()
	s.ready = false
	s.draining = true
	s.deregistered = true
	m.reportChange(now, previous)
}

// handleProbe handles the result of a probe.
func (m *Model) handleProbe(now time.Time, msg ProbeMsg) {
	s := &m.server
	previous := m.availability()
	switch msg.Result {
	case ProbeRefused:
		if !s.exited && (s.announced || s.ready || len(m.flows) > 0) {
			m.resetAll(now, CauseBackendGone, s.lastProbe)
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
	m.reportChange(now, previous)
}

// probeWhenSilent starts probes while the expected packets or heartbeats of the
// backend server do not come.
func (m *Model) probeWhenSilent(now time.Time) {
	s := &m.server
	switch {
	case !s.announced && !s.ready && !m.configured && now.Sub(m.startedAt) < configTimeout:
	case !s.announced && !s.ready:
		m.probe(now, m.startProbeInterval(now), true)
	case m.load.requestsPending() && now.Sub(s.lastPacket) > silenceTimeout && now.Sub(m.load.busySince) > silenceTimeout:
		m.probe(now, silenceProbeInterval, false)
	case s.announced && now.Sub(s.lastHeartbeat) > heartbeatTimeout:
		m.probe(now, silenceProbeInterval, false)
	}
}

// startProbeInterval returns the time between probes while neither a heartbeat nor a
// good health response shows that the backend server runs. It is short at first, and
// longer later, as an instance may run without a backend server for long.
func (m *Model) startProbeInterval(now time.Time) time.Duration {
	if now.Sub(m.startedAt) < fastProbeDuration {
		return fastProbeInterval
	}
	return slowProbeInterval
}

// BackendSeen reports whether a heartbeat or a packet of the backend server has been
// received since this agent started, or the backend server is ready by its latest
// health response.
func (m *Model) BackendSeen() bool {
	s := &m.server
	return s.ready || !s.lastHeartbeat.IsZero() || !s.lastPacket.IsZero()
}

func (m *Model) probe(now time.Time, interval time.Duration, health bool) {
	if now.Sub(m.server.lastProbe) < interval {
		return
	}
	m.server.lastProbe = now
	m.stats.Probes++
	m.emit(ProbeEffect{
		Health: health,
	})
}

// handleResumed treats the state of the backend server as stale after this process was
// paused: no new flows are admitted until the next heartbeat or good probe.
func (m *Model) handleResumed(now time.Time) {
	m.server.announced = false
	m.server.ready = false
	m.coldBudget.Resume(now)
	m.discardServiceTimes()
	m.reportToAll(now)
}

// reportChange reports to all balancers if the availability differs from previous.
func (m *Model) reportChange(now time.Time, previous Availability) {
	current := m.availability()
	if current == previous {
		return
	}
	m.emit(LogEffect{
		Event: "availability is " + current.String(),
		Count: len(m.flows),
	})
	m.reportToAll(now)
}
