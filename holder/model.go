// Package holder decides, beside each backend server, about every packet of
// flows that the backend server itself ends. Model knows exactly which flows its
// backend server holds: all packets of both directions pass it. Update takes a
// message and returns effects; it does no I/O.
package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
)

// Config says which target an agent serves.
type Config struct {
	Service string
	// MaxEntries bounds the flows that are remembered.
	MaxEntries int
	// Balancers are addresses where balancers may run.
	Balancers []netip.AddrPort
}

// Model is the state of one agent. It belongs to one goroutine at a time.
//
//	m := holder.NewModel(config, now)
//	for _, e := range m.Update(now, holder.TickMsg{}) { perform(e) }
type Model struct {
	config     Config
	declared   ConfigMsg
	startedAt  time.Time
	flows      map[flow.Tuple]*entry
	server     server
	coldBudget *target.ColdBudget
	load       load
	stopping   bool
	// configured is set once declared holds what operators declared.
	configured  bool
	subscribers *Subscribers
	// reportedFlows is the number of flows in the latest report, and reportAt its time.
	reportedFlows int
	lastReport    time.Time
	nextSweep     time.Time
	stats         Stats
	effects       []Effect
}

// NewModel returns a model that knows nothing about its backend server yet.
func NewModel(c Config, now time.Time) *Model {
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	return &Model{
		config:      c,
		startedAt:   now,
		flows:       map[flow.Tuple]*entry{},
		coldBudget:  target.NewColdBudget(now),
		subscribers: NewSubscribers(now, c.Balancers),
		declared: ConfigMsg{
			IdleTimeout: defaultIdleTimeout,
		},
		server: server{
			waitingSince: now,
		},
	}
}

const (
	// defaultMaxEntries is four times the flows that one backend server holds.
	defaultMaxEntries = 8192
	// defaultIdleTimeout is used until a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// endedRetention keeps an ended flow known for its last retransmissions.
	endedRetention = 3 * time.Second
	// openingTimeout forgets a flow whose handshake never ended; a caller gives
	// up after 1.4 s.
	openingTimeout = 3 * time.Second
	// ackWindow bounds how far an acknowledgement may be ahead of the start of
	// a flow that has just opened.
	ackWindow = 1 << 16
	// requestTimeout is the time after which a request counts as in work no more.
	requestTimeout = 3 * time.Second
	// sweepPeriod is the time between two searches for forgotten flows.
	sweepPeriod = time.Second
)

// Update takes one message and returns what is to be done. The result is valid
// until the next call.
func (m *Model) Update(now time.Time, msg Msg) []Effect {
	m.effects = m.effects[:0]
	switch x := msg.(type) {
	case DeliverMsg:
		m.deliver(now, x)
	case OutboundMsg:
		m.outbound(now, x)
	case QueryMsg, ReportRequestMsg, BalancersMsg:
		m.fromBalancers(now, x)
	case HeartbeatMsg:
		m.heartbeat(now, x)
	case DeregisterMsg:
		m.deregister(now, x)
	case ProbeMsg:
		m.probed(now, x)
	case ConfigMsg:
		m.configure(now, x)
	case EarlierRecordMsg:
		m.earlierRecord(x)
	case RecordedMsg:
		m.recorded(now, x)
	case ResumedMsg:
		m.resumed(now)
	case StopMsg:
		m.stopping = true
		m.reportToAll(now)
	case TickMsg:
		m.tick(now)
	}
	return m.effects
}

// configure takes what operators declared, from the registry or from a balancer.
func (m *Model) configure(now time.Time, x ConfigMsg) {
	if m.configured && x.Version < m.declared.Version {
		return
	}
	m.declared = x
	if !m.configured {
		m.configured = true
		m.probeWhenSilent(now)
	}
}

// fromBalancers takes what balancers ask, and which there are.
func (m *Model) fromBalancers(now time.Time, msg Msg) {
	switch x := msg.(type) {
	case QueryMsg:
		m.subscribers.Add(now, x.From)
		m.query(now, x)
	case ReportRequestMsg:
		m.reportRequested(now, x)
	case BalancersMsg:
		m.balancersListed(now, x)
	}
}

// KnowsAllFlows reports whether every flow of the backend server is known here: this
// agent has been there for the backend server's whole life, or for longer than
// any unseen flow may stay silent.
func (m *Model) KnowsAllFlows(now time.Time) bool {
	return m.server.noEarlierFlows || now.Sub(m.startedAt) > m.declared.IdleTimeout+idleSlack
}

// settleTime is the time after the start in which an agent leaves questions
// unanswered that it may soon answer for certain: a backend server that starts
// with it announces itself at once.
const settleTime = 250 * time.Millisecond

// idleSlack is added to the idle timeout before unseen flows are ruled out.
const idleSlack = time.Second

// Flows returns the number of flows that are known.
func (m *Model) Flows() int {
	return len(m.flows)
}

// Stats returns the counters so far.
func (m *Model) Stats() Stats {
	s := m.stats
	s.Open = len(m.flows)
	return s
}

func (m *Model) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Model) tick(now time.Time) {
	m.load.tick(now)
	m.probeWhenSilent(now)
	m.tickReport(now)
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepPeriod)
	m.sweep(now)
}

// sweep forgets flows that have ended or were silent for too long.
func (m *Model) sweep(now time.Time) {
	for t, e := range m.flows {
		switch {
		case now.Sub(e.lastPacket) > m.entryTimeout(e):
			m.removeFlow(t, e)
		case e.requestPending() && now.Sub(e.requestedAt) > requestTimeout:
			// The caller has given up, or the answer was lost for good.
			e.requestedAt = time.Time{}
			m.load.abandon()
		}
	}
}

func (m *Model) entryTimeout(e *entry) time.Duration {
	switch e.state {
	case entryOpening, entryAccepted, entryOffered:
		return openingTimeout
	case entryEnded:
		return endedRetention
	}
	return m.declared.IdleTimeout + idleSlack
}

func (m *Model) removeFlow(t flow.Tuple, e *entry) {
	if e.requestPending() {
		m.load.abandon()
	}
	delete(m.flows, t)
}

// addFlow adds a flow; when the table is full the longest silent one of a few
// goes.
func (m *Model) addFlow(now time.Time, t flow.Tuple, e *entry) {
	if old := m.flows[t]; old != nil {
		m.removeFlow(t, old)
	}
	if len(m.flows) >= m.config.MaxEntries {
		m.evictOne()
	}
	e.lastPacket = now
	m.flows[t] = e
}

// evictSample is how many flows are compared when one must go.
const evictSample = 8

func (m *Model) evictOne() {
	var oldest flow.Tuple
	var found *entry
	n := 0
	for t, e := range m.flows {
		if found == nil || e.lastPacket.Before(found.lastPacket) {
			oldest = t
			found = e
		}
		n++
		if n == evictSample {
			break
		}
	}
	if found != nil {
		m.stats.Evicted++
		m.removeFlow(oldest, found)
	}
}

// resetAll ends the flows of a life of the backend server that was last seen at a
// time. A flow that opened later may be of the next life, and one that was still
// opening may have opened elsewhere, with a copy of its first packet; if not, the
// backend server returns its next packet.
func (m *Model) resetAll(cause ResetCause, seen time.Time) {
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
		m.removeFlow(t, e)
	}
	m.stats.Reset += uint64(n)
	m.emit(LogEffect{
		Event: string(cause),
		Count: n,
	})
}

func (m *Model) reject(x DeliverMsg, r RejectReason) {
	m.stats.Rejected[r]++
	m.emit(RejectEffect{
		To:      x.From,
		Reason:  r,
		Segment: x.Segment,
		Data:    x.Data,
	})
}

// query says which flows the backend server holds.
func (m *Model) query(now time.Time, x QueryMsg) {
	a := ReplyEffect{
		To: x.From,
	}
	for _, p := range x.Flows {
		e := m.flows[p.Tuple]
		switch {
		case e != nil && e.holds(p.Ack):
			a.Held = append(a.Held, p.Tuple)
		case !m.noBackend() && (e != nil && e.state == entryOffered || e == nil && !m.KnowsAllFlows(now)):
			if now.Sub(m.startedAt) > settleTime {
				a.Unsure = append(a.Unsure, p.Tuple)
			}
		default:
			a.Unheld = append(a.Unheld, p.Tuple)
		}
	}
	m.emit(a)
}

// noBackend reports whether there is no backend server that could hold a flow.
func (m *Model) noBackend() bool {
	return m.server.exited || m.server.absent && !m.BackendSeen()
}

// holds reports whether the backend server holds the flow whose caller has
// acknowledged ack.
func (e *entry) holds(ack uint32) bool {
	switch e.state {
	case entryOpen, entryEnded:
		return true
	case entryAccepted:
		return segment.After(ack, e.acceptedSequence, ackWindow)
	}
	return false
}
