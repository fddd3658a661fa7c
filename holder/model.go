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
	config   Config
	declared ConfigMsg
	started  time.Time
	flows    map[flow.Tuple]*entry
	server   server
	cold     *target.ColdBudget
	load     load
	stopping bool
	// configured is set once declared holds what operators declared.
	configured bool
	audience   *Subscribers
	// reported is the number of flows in the latest report, and reportAt its time.
	reported int
	reportAt time.Time
	sweepAt  time.Time
	stats    Stats
	effects  []Effect
}

// NewModel returns a model that knows nothing about its backend server yet.
func NewModel(c Config, now time.Time) *Model {
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	return &Model{
		config:   c,
		started:  now,
		flows:    map[flow.Tuple]*entry{},
		cold:     target.NewColdBudget(now),
		audience: NewSubscribers(now, c.Balancers),
		declared: ConfigMsg{
			IdleTimeout: defaultIdleTimeout,
		},
		server: server{
			bornAt: now,
		},
	}
}

const (
	// defaultMaxEntries is four times the flows that one backend server holds.
	defaultMaxEntries = 8192
	// defaultIdleTimeout is used until a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// endedLinger keeps an ended flow known for its last retransmissions.
	endedLinger = 3 * time.Second
	// openingTimeout forgets a flow whose handshake never ended; a caller gives
	// up after 1.4 s.
	openingTimeout = 3 * time.Second
	// ackWindow bounds how far an acknowledgement may be ahead of the start of
	// a flow that has just opened.
	ackWindow = 1 << 16
	// askedLimit is the time after which a request counts as in work no more.
	askedLimit = 3 * time.Second
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
		m.record(x)
	case RecordedMsg:
		m.recorded(now, x)
	case ResumedMsg:
		m.woken(now)
	case StopMsg:
		m.stopping = true
		m.tellAll(now)
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
		m.watch(now)
	}
}

// fromBalancers takes what balancers ask, and which there are.
func (m *Model) fromBalancers(now time.Time, msg Msg) {
	switch x := msg.(type) {
	case QueryMsg:
		m.audience.Add(now, x.From)
		m.query(now, x)
	case ReportRequestMsg:
		m.solicited(now, x)
	case BalancersMsg:
		m.balancers(now, x)
	}
}

// KnowsAllFlows reports whether every flow of the backend server is known here: this
// agent has been there for the backend server's whole life, or for longer than
// any unseen flow may stay silent.
func (m *Model) KnowsAllFlows(now time.Time) bool {
	return m.server.fresh || now.Sub(m.started) > m.declared.IdleTimeout+idleSlack
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
	m.watch(now)
	m.tickReport(now)
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(sweepPeriod)
	m.sweep(now)
}

// sweep forgets flows that have ended or were silent for too long.
func (m *Model) sweep(now time.Time) {
	for t, e := range m.flows {
		switch {
		case now.Sub(e.seen) > m.lifetime(e):
			m.forget(t, e)
		case e.working() && now.Sub(e.asked) > askedLimit:
			// The caller has given up, or the answer was lost for good.
			e.asked = time.Time{}
			m.load.abandon()
		}
	}
}

func (m *Model) lifetime(e *entry) time.Duration {
	switch e.state {
	case entryOpening, entryAccepted, entryOffered:
		return openingTimeout
	case entryEnded:
		return endedLinger
	}
	return m.declared.IdleTimeout + idleSlack
}

func (m *Model) forget(t flow.Tuple, e *entry) {
	if e.working() {
		m.load.abandon()
	}
	delete(m.flows, t)
}

// remember adds a flow; when the table is full the longest silent one of a few
// goes.
func (m *Model) remember(now time.Time, t flow.Tuple, e *entry) {
	if old := m.flows[t]; old != nil {
		m.forget(t, old)
	}
	if len(m.flows) >= m.config.MaxEntries {
		m.evictOne()
	}
	e.seen = now
	m.flows[t] = e
}

// evictSample is how many flows are compared when one must go.
const evictSample = 8

func (m *Model) evictOne() {
	var oldest flow.Tuple
	var found *entry
	n := 0
	for t, e := range m.flows {
		if found == nil || e.seen.Before(found.seen) {
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
		m.forget(oldest, found)
	}
}

// resetAll ends the flows of a life of the backend server that was last seen at a
// time. A flow that opened later may be of the next life, and one that was still
// opening may have opened elsewhere, with a copy of its first packet; if not, the
// backend server returns its next packet.
func (m *Model) resetAll(cause ResetCause, seen time.Time) {
	n := 0
	for t, e := range m.flows {
		if e.state == entryOpen && e.opened.After(seen) {
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
		m.forget(t, e)
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
		case !m.nobody() && (e != nil && e.state == entryOffered || e == nil && !m.KnowsAllFlows(now)):
			if now.Sub(m.started) > settleTime {
				a.Unsure = append(a.Unsure, p.Tuple)
			}
		default:
			a.Unheld = append(a.Unheld, p.Tuple)
		}
	}
	m.emit(a)
}

// nobody reports whether there is no backend server that could hold a flow.
func (m *Model) nobody() bool {
	return m.server.gone || m.server.absent && !m.BackendSeen()
}

// holds reports whether the backend server holds the flow whose caller has
// acknowledged ack.
func (e *entry) holds(ack uint32) bool {
	switch e.state {
	case entryOpen, entryEnded:
		return true
	case entryAccepted:
		return segment.After(ack, e.accepted, ackWindow)
	}
	return false
}
