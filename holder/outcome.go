package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/routing"
)

// outcomes classifies how requests end at the backend server. It answers a server that fails
// requests while its health response is good. It is not used unless Config.LoadAware is set.
type outcomes struct {
	monitor   outlier.Monitor
	baselines outlier.Baselines
	// open has the entries whose request may still have to be decided by a tick.
	open []*entry
	// tickedAt is when the latest tick was.
	tickedAt time.Time
}

// outcome is what is known of how the latest request of a flow ended. Times are since the start
// of the agent, to keep it small.
type outcome struct {
	state outcomeState
	// packet says what the caller's packet is that is being forwarded.
	packet requestPacket
	// listed is set while the entry is in outcomes.open.
	listed bool
	// callerKnown is set once requestEnd is valid: the sequence number after the caller's
	// payload.
	callerKnown bool
	requestEnd  uint32
	// responseBegin is the sequence number at which the response begins, and length the
	// payload of the response so far. Counted in sequence numbers, it is right also if the
	// backend server has repeated a part.
	responseBegin uint32
	length        uint32
	startedAt     time.Duration
	// wait is the time until the response began.
	wait     time.Duration
	baseline *outlier.Baseline
}

// outcomeState is how far the outcome of a request is decided.
type outcomeState uint8

const (
	// outcomeNone means that there is no request, or that it counts neither as good nor as
	// failed.
	outcomeNone outcomeState = iota
	outcomeWaiting
	// outcomeSuspect means that the response began so early that it has failed if it stays
	// short.
	outcomeSuspect
	// outcomeGood means that the request was counted as good, and outcomeShort that it was
	// counted as failed because of a short response.
	outcomeGood
	outcomeShort
)

const (
	// shortResponseGap is the silence of a flow after which a response counts as complete: the
	// backend server sends the packets of an error at once, and the next request that shows
	// its end may come much later.
	shortResponseGap = 100 * time.Millisecond
	// pauseGap is the time between two ticks from which on this process was paused, so that
	// responses may have come without being seen.
	pauseGap = time.Second
)

// outcomeRequestStarted begins with a new request, unless its packet repeats another one.
func (m *Model) outcomeRequestStarted(now time.Time, t flow.Tuple, e *entry) {
	o := &e.outcome
	p := o.packet
	o.packet = packetNone
	switch p {
	case packetRepeated:
		return
	case packetUnknown, packetNone:
		o.state = outcomeNone
		return
	}
	o.state = outcomeWaiting
	o.length = 0
	o.startedAt = now.Sub(m.startedAt)
	o.baseline = m.outcomes.baselines.Of(routing.AddressOf(t))
	if !o.listed {
		o.listed = true
		m.outcomes.open = append(m.outcomes.open, e)
	}
}

// outcomeRequestFinished decides the outcome of a request that is over, unless the caller has
// only repeated it.
func (m *Model) outcomeRequestFinished(now time.Time, e *entry, end requestEnd) {
	o := &e.outcome
	if o.packet == packetRepeated {
		return
	}
	switch o.state {
	case outcomeWaiting:
		o.state = outcomeNone
		if end == endTimeout || end == endAbandoned && m.waitedLong(now, e) {
			m.recordSilence(now)
		}
	case outcomeSuspect:
		m.decideSuspect(now, e)
	case outcomeGood:
		o.baseline.Learn(o.length, o.wait)
		o.state = outcomeNone
	}
}

// decideSuspect decides the outcome of a response that began early and is complete.
func (m *Model) decideSuspect(now time.Time, e *entry) {
	o := &e.outcome
	if !m.responseFailed(e) {
		o.baseline.Learn(o.length, o.wait)
		o.state = outcomeNone
		m.recordOutcome(now, false)
		return
	}
	o.state = outcomeShort
	o.baseline.LearnFailed(now.Sub(m.startedAt), o.length, o.wait)
	m.recordFailure(now, outlier.FailureShort)
}

// responseFailed reports whether the response of the flow's latest request has failed by its
// length and time, as far as it has come.
func (m *Model) responseFailed(e *entry) bool {
	o := &e.outcome
	return o.state == outcomeShort || o.state == outcomeSuspect && o.baseline.Short(o.length)
}

// responseTimeout returns the time without a response after which a request has failed.
func (m *Model) responseTimeout(e *entry) time.Duration {
	if t := e.class.Timeout; t > 0 && t < requestTimeout {
		return t
	}
	return requestTimeout
}

// tickOutcomes decides the requests in flight that have timed out, and the responses that are
// complete.
func (m *Model) tickOutcomes(now time.Time) {
	if !m.config.LoadAware {
		return
	}
	o := &m.outcomes
	paused := !o.tickedAt.IsZero() && now.Sub(o.tickedAt) > pauseGap
	o.tickedAt = now
	kept := o.open[:0]
	for _, e := range o.open {
		if paused {
			e.outcome.state = outcomeNone
		}
		m.tickOutcome(now, e)
		if s := e.outcome.state; s == outcomeWaiting || s == outcomeSuspect {
			kept = append(kept, e)
		} else {
			e.outcome.listed = false
		}
	}
	clear(o.open[len(kept):])
	o.open = kept
	before := o.monitor.Failing()
	o.monitor.Advance(now)
	m.reportFailing(now, before)
}

func (m *Model) tickOutcome(now time.Time, e *entry) {
	o := &e.outcome
	switch {
	case o.state == outcomeWaiting && now.Sub(m.startedAt)-o.startedAt >= m.responseTimeout(e):
		o.state = outcomeNone
		if !e.callerFin || m.waitedLong(e.lastPacket, e) {
			m.recordSilence(now)
		}
	case o.state == outcomeSuspect && now.Sub(e.lastPacket) >= shortResponseGap:
		m.decideSuspect(now, e)
	}
}

// waitedLong reports whether a caller that left at a time without a response has left because of
// the timeout. It began to wait before its request came here, and so leaves a little earlier.
func (m *Model) waitedLong(left time.Time, e *entry) bool {
	return left.Sub(m.startedAt)-e.outcome.startedAt >= m.responseTimeout(e)*3/4
}

// recordSilence counts a request that got no response, unless the backend server may be cold and
// so slow without failing.
func (m *Model) recordSilence(now time.Time) {
	if !m.server.mayBeCold(now) {
		m.recordFailure(now, outlier.FailureSilence)
	}
}

func (m *Model) recordFailure(now time.Time, f outlier.Failure) {
	if m.recordOutcome(now, true) {
		m.stats.FailedResponses[f]++
	}
}

// recordOutcome counts a request, unless the backend server is stopping: the flows that it ends
// then are no failures. It reports whether it did.
func (m *Model) recordOutcome(now time.Time, failed bool) bool {
	s := &m.server
	if s.draining || s.deregistered || s.exited {
		return false
	}
	before := m.outcomes.monitor.Failing()
	m.outcomes.monitor.Record(now, failed)
	m.reportFailing(now, before)
	return true
}

// reportFailing sends the subscribers a report if the backend server has become failing or no
// longer is.
func (m *Model) reportFailing(now time.Time, before bool) {
	if m.outcomes.monitor.Failing() == before {
		return
	}
	event := "backend server fails requests: its failure share is above the threshold"
	if before {
		event = "backend server no longer fails requests: its failure share is below the threshold"
	}
	m.emit(LogEffect{
		Event: event,
		Count: m.outcomes.monitor.Estimate().Percent(),
	})
	m.sendReports(now, m.subscribers.Recipients(now))
}

// learnServiceCosts takes over the service-wide costs that a balancer sent, for the cost table and
// for the usual responses.
func (m *Model) learnServiceCosts(costs []cost.RouteCost) {
	m.serviceTimes.table.SetPrior(costs)
	for _, c := range costs {
		m.outcomes.baselines.SetService(c.Route, outlier.Usual{
			Bytes: c.ResponseBytes,
			Wait:  c.Mean,
		})
	}
}

// forgetOutcomes starts anew after the backend server was replaced: another version may have
// other responses. Only the service-wide values remain.
func (m *Model) forgetOutcomes(now time.Time) {
	for _, e := range m.outcomes.open {
		e.outcome.state = outcomeNone
		e.outcome.listed = false
	}
	before := m.outcomes.monitor.Failing()
	baselines := m.outcomes.baselines
	baselines.Forget()
	m.outcomes = outcomes{
		baselines: baselines,
		tickedAt:  m.outcomes.tickedAt,
	}
	m.reportFailing(now, before)
}
