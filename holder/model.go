// Package holder is the agent side of the mode in which backend servers terminate
// TCP flows themselves. An agent runs beside each backend server, and packets of both
// directions pass it, so Model knows which flows its backend server holds, except for a
// time after a restart of the agent (see KnowsAllFlows). It forwards each packet, returns
// it to the balancer, drops it, or resets its flow. Update takes a message and returns
// effects; it does no I/O.
package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
)

// Config holds the settings of a Model.
type Config struct {
	Name string
	// Service is the service of the backend server beside the agent.
	Service string
	// MaxEntries bounds the flows in the table; zero or less is defaultMaxEntries.
	MaxEntries int
	// Balancers are addresses where balancers may run.
	Balancers []netip.AddrPort
	// LoadAware turns on learned costs, the queue of requests and the detection of failures.
	// Without it, nothing of them takes effect.
	LoadAware bool
	// OverdueAfter returns the time after which a running request of a route no longer counts
	// against the slots; nil is twice the learned p99 of the route, 250 ms at least.
	OverdueAfter func(routing.Address) time.Duration
	// Queue bounds the queue of requests.
	Queue queue.Limits
	// Ahead is the number of requests that the backend server has beyond its slots while
	// others wait here, so that a slot that becomes free does not wait for this agent.
	Ahead int
}

// Model is the state of one agent. It belongs to one goroutine at a time.
//
//	m := holder.NewModel(config, now)
//	for _, e := range m.Update(now, holder.TickMsg{}) { perform(e) }
type Model struct {
	config Config
	// declared is the declared configuration, or defaults until configured is set.
	declared   ConfigMsg
	startedAt  time.Time
	flows      map[flow.Tuple]*entry
	server     server
	coldBudget *target.ColdBudget
	load       load
	schedule   schedule
	admission  admission
	// serviceTimes is used only if load-aware.
	serviceTimes serviceTimes
	stopping     bool
	// handoverRequested has the balancers that were asked for the flows of earlier
	// processes.
	handoverRequested map[netip.AddrPort]bool
	// plannedRestart is set once it is known that the previous process of this agent was
	// asked to stop.
	plannedRestart bool
	// configured is set once a declared configuration was received.
	configured  bool
	subscribers *Subscribers
	// confirmations has the flows to confirm at the next report, by balancer.
	confirmations map[netip.AddrPort][]flow.Tuple
	// reportedFlows is the number of flows in the latest report.
	reportedFlows int
	// lastReport is when the latest report to the subscribers was due.
	lastReport time.Time
	// configCheckedAt is when a balancer was last sent a regular report or a check of the
	// configuration, and configChecks counts the checks.
	configCheckedAt time.Time
	configChecks    int
	// evictedAt is when an open flow was last evicted from the full table.
	evictedAt time.Time
	// idleFlows is the number of flows that were silent for longer than the idle timeout at
	// the latest sweep.
	idleFlows int
	nextSweep time.Time
	outcomes  outcomes
	stats     Stats
	effects   []Effect
}

// NewModel returns a model whose backend server is not known yet.
func NewModel(c Config, now time.Time) *Model {
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	m := &Model{
		config:      c,
		startedAt:   now,
		flows:       map[flow.Tuple]*entry{},
		coldBudget:  target.NewColdBudget(now),
		subscribers: NewSubscribers(now, c.Balancers),
		schedule: schedule{
			queue: queue.New(c.Queue),
		},

		serviceTimes: newServiceTimes(),

		handoverRequested: map[netip.AddrPort]bool{},
		declared: ConfigMsg{
			IdleTimeout: defaultIdleTimeout,
		},
	}
	m.admission = m.newAdmission()
	return m
}

const (
	// defaultMaxEntries is four times the flows that one backend server holds.
	defaultMaxEntries = 8192
	// defaultIdleTimeout is used until a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// idleRetention is the least time for which an open flow stays in the table. A new
	// configuration may raise the idle timeout, and flows that are silent for longer than
	// the earlier one are still open then.
	idleRetention = time.Minute
	// endedRetention keeps an ended flow in the table for its last retransmissions.
	endedRetention = 3 * time.Second
	// openingTimeout is the silence after which a flow is removed that has not reached
	// entryOpen; a caller gives up after 1.4 s.
	openingTimeout = 3 * time.Second
	// ackWindow bounds how far an acknowledgement number of the caller may be ahead of
	// the sequence number of the SYN-ACK, in bytes.
	ackWindow = 1 << 16
	// requestTimeout is the time after which a request no longer counts as in flight.
	requestTimeout = 3 * time.Second
	// sweepInterval is the time between two searches for flows that have timed out.
	sweepInterval = time.Second
)

// Update handles one message and returns the effects to perform. The result is
// valid until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	m.schedule.queue.Recycle()
	switch x := msg.(type) {
	case DeliverMsg:
		m.handleDeliver(now, x)
	case OutboundMsg:
		m.handleOutbound(now, x)
	case QueryMsg, ReportRequestMsg, BalancersMsg:
		m.handleBalancerMsg(now, x)
	case HintsMsg:
		m.handleHints(now, x)
	case HeartbeatMsg:
		m.handleHeartbeat(now, x)
	case DeregisterMsg:
		m.handleDeregister(now, x)
	case ProbeMsg:
		m.handleProbe(now, x)
	case ConfigMsg:
		m.handleConfig(now, x)
	case EarlierRecordMsg:
		m.handleEarlierRecord(now, x)
	case RecordedMsg:
		m.handleRecorded(now, x)
	case ResumedMsg:
		m.handleResumed(now)
	case StopMsg:
		m.handleStop(now)
	case ExitMsg:
		m.closeQueue(now)
		m.handOver(now)
	case TickMsg:
		m.tick(now)
	}
	// After any message the backend server may take more requests, and the flows are in a consistent state here.
	m.startHeld(now)
	return m.effects
}

// handleConfig adopts a declared configuration, from the registry or from a balancer,
// unless it is older than the present one. Without an idle timeout in it, the present one
// stays in force.
func (m *Model) handleConfig(now time.Time, msg ConfigMsg) {
	if m.configured && msg.Version < m.declared.Version {
		return
	}
	if msg.IdleTimeout <= 0 {
		msg.IdleTimeout = m.declared.IdleTimeout
	}
	m.declared = msg
	m.compareIncarnations()
	if !m.configured {
		m.configured = true
		m.probeWhenSilent(now)
	}
}

// handleBalancerMsg handles the messages that come from balancers or list them.
func (m *Model) handleBalancerMsg(now time.Time, msg Msg) {
	switch x := msg.(type) {
	case QueryMsg:
		m.subscribers.Add(now, x.From)
		m.handleQuery(now, x)
	case ReportRequestMsg:
		m.handleReportRequest(now, x)
	case BalancersMsg:
		m.handleBalancers(now, x)
	}
}

// KnowsAllFlows reports whether every flow of the backend server is in the table: no earlier
// agent process has sent flows to the backend server's incarnation, or this one has run for
// longer than a flow may stay silent, and no open flow was evicted within that time.
func (m *Model) KnowsAllFlows(now time.Time) bool {
	silence := m.declared.IdleTimeout + idleMargin
	if !m.evictedAt.IsZero() && now.Sub(m.evictedAt) <= silence {
		return false
	}
	return m.server.noEarlierFlows || now.Sub(m.startedAt) > silence
}

// unsureDelay is the time after the start in which an agent does not reply that it is
// unsure about a flow: a backend server that starts together with the agent sends a
// heartbeat at once, and the agent can then give a certain reply to the next query.
const unsureDelay = 250 * time.Millisecond

// idleMargin is added to the idle timeout before a flow counts as ended.
const idleMargin = time.Second

// Flows returns the number of flows that have not been silent for longer than the idle timeout.
func (m *Model) Flows() int {
	return max(0, len(m.flows)-m.idleFlows)
}

// Stats returns the counters since the start.
func (m *Model) Stats() Stats {
	s := m.stats
	s.Open = len(m.flows)
	for _, w := range m.queuedWork() {
		s.Queue[queueClass(w.Priority)].Waiting += int(w.Requests)
	}
	s.FailureShare = m.outcomes.monitor.Share()
	return s
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) tick(now time.Time) {
	m.load.tick(now)
	m.tickOutcomes(now)
	m.tickServiceTimes(now)
	m.probeWhenSilent(now)
	m.tickReport(now)
	m.sweepAdmission(now)
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	m.requestHandover(now)
	m.sweep(now)
}

// sweep removes flows that have ended or were silent for too long, and the requests
// that have timed out from the load.
func (m *Model) sweep(now time.Time) {
	m.idleFlows = 0
	for t, e := range m.flows {
		if m.isIdle(now, e) {
			m.idleFlows++
		}
		switch {
		case e.waiting != nil:
			// The backend server gets the next packet of the flow once it takes more requests.
		case now.Sub(e.lastPacket) > m.entryTimeout(e):
			m.removeFlow(now, t, e)
		case e.requestPending() && now.Sub(e.requestedAt) > requestTimeout:
			// The caller has given up, or the response was lost.
			e.requestedAt = time.Time{}
			m.load.abandon()
			m.finishRequest(now, e, endTimeout)
		}
	}
}

func (m *Model) entryTimeout(e *entry) time.Duration {
	switch e.state {
	case entryOpening, entrySynAckSent:
		return openingTimeout
	case entryEnded:
		return endedRetention
	case entryOpen:
		return max(m.declared.IdleTimeout, idleRetention) + idleMargin
	}
	return m.declared.IdleTimeout + idleMargin
}

// isIdle reports whether the backend server may have discarded a flow because of its silence.
func (m *Model) isIdle(now time.Time, e *entry) bool {
	return now.Sub(e.lastPacket) > m.declared.IdleTimeout+idleMargin
}

func (m *Model) removeFlow(now time.Time, t flow.Tuple, e *entry) {
	m.dropHeld(e)
	m.finishRequest(now, e, endAbandoned)
	if e.requestPending() {
		m.load.abandon()
	}
	m.endExpectation(e)
	delete(m.flows, t)
}

// addFlow adds a flow. When the table is full, it evicts the longest silent flow of
// a sample.
func (m *Model) addFlow(now time.Time, t flow.Tuple, e *entry) {
	if old := m.flows[t]; old != nil {
		m.removeFlow(now, t, old)
	}
	if len(m.flows) >= m.config.MaxEntries {
		m.evictOne(now)
	}
	e.lastPacket = now
	m.flows[t] = e
}

// evictSample is the number of flows among which the one to evict is chosen.
const evictSample = 8

func (m *Model) evictOne(now time.Time) {
	var oldest flow.Tuple
	var found *entry
	n := 0
	for t, e := range m.flows {
		if found == nil || evictsBefore(e, found) {
			oldest = t
			found = e
		}
		n++
		if n == evictSample {
			break
		}
	}
	if found == nil {
		return
	}
	m.stats.Evicted++
	if found.state == entryOpen && !m.isIdle(now, found) {
		m.evictedAt = now
	}
	m.removeFlow(now, oldest, found)
}

// evictsBefore reports whether a flow is to be evicted rather than another one: one without a
// waiting request, then the one that has been silent for longer.
func evictsBefore(a, b *entry) bool {
	if (a.waiting == nil) != (b.waiting == nil) {
		return a.waiting == nil
	}
	return a.lastPacket.Before(b.lastPacket)
}

// resetAll ends the flows of an incarnation of the backend server that was last seen
// at the time seen. A flow that opened later is kept, as it may belong to the next
// incarnation. A flow that is not in entryOpen is removed without a reset: it has ended,
// or another target may hold it, for example one that has answered a copy of its SYN. If
// none does, its next packet goes back to the balancer as not held.
func (m *Model) resetAll(now time.Time, cause ResetCause, seen time.Time) {
	n := 0
	for t, e := range m.flows {
		if e.state == entryOpen && e.openedAt.After(seen) {
			continue
		}
		if e.state == entryOpen {
			m.emit(ResetEffect{
				Tuple:    t,
				Sequence: e.lastAck,
				Cause:    cause,
			})
			n++
		}
		m.removeFlow(now, t, e)
	}
	m.stats.Reset += uint64(n)
	m.emit(LogEffect{
		Event: string(cause),
		Count: n,
	})
}

func (m *Model) reject(packet DeliverMsg, r RejectReason) {
	m.stats.Rejected[r]++
	m.emit(RejectEffect{
		To:      packet.From,
		Reason:  r,
		Segment: packet.Segment,
		Data:    packet.Data,
	})
}

// handleQuery replies which of the flows the backend server holds.
func (m *Model) handleQuery(now time.Time, msg QueryMsg) {
	a := ReplyEffect{
		To: msg.From,
	}
	confirmed := true
	for _, p := range msg.Flows {
		e := m.flows[p.Tuple]
		a.addOffers(p, e)
		switch {
		case e != nil && e.holds(p.Ack):
			a.Held = append(a.Held, p.Tuple)
			confirmed = confirmed && m.confirmable(e)
		case !m.noBackend() && (e != nil && e.state == entryOffered || e == nil && !m.KnowsAllFlows(now)):
			if now.Sub(m.startedAt) > unsureDelay {
				a.Unsure = append(a.Unsure, p.Tuple)
			}
		default:
			a.Unheld = append(a.Unheld, p.Tuple)
		}
	}
	if confirmed && len(a.Held) > 0 {
		a.BackendIncarnation = m.incarnation()
	}
	m.emit(a)
}

// noBackend reports whether no backend server is running that could hold a flow.
func (m *Model) noBackend() bool {
	return m.server.exited || m.server.absent && !m.BackendSeen()
}

// holds reports whether the backend server holds the flow, given the latest
// acknowledgement number that the caller sent. An ended flow counts as held, because its
// late packets still go to the backend server.
func (e *entry) holds(ack uint32) bool {
	switch e.state {
	case entryOpen, entryEnded:
		return true
	case entrySynAckSent:
		return segment.AfterWithin(ack, e.synAckSequence, ackWindow)
	}
	return false
}
