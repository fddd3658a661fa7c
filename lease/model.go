// Package lease decides which instance holds a lease that is stored as one object
// on the platform. Each take-over raises the term, which fences everything that an
// earlier holder still sends. The clocks of instances are not compared: a contender
// considers the holder failed when it has seen the object unchanged for the whole
// TTL by its own clock.
package lease

import "time"

// Term numbers the take-overs of a lease; a later holder has a higher term.
type Term uint32

// Record is the stored form of a lease.
type Record struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Term     Term   `json:"term"`
	Renewals uint64 `json:"renewals"`
}

// Config holds the identity of a contender and the times of its lease.
type Config struct {
	// Holder names this incarnation of the instance; it must differ after a restart.
	Holder string
	// Address is where others reach this instance when it is the holder.
	Address string
	// TTL is how long a contender must see the stored lease unchanged before it takes
	// the lease over. A holder that has not renewed for longer is stale.
	TTL time.Duration
	// RenewInterval is the time between renewals, and the least time between two
	// attempts of a contender.
	RenewInterval time.Duration
	// SilenceTimeout is the time without a heartbeat of a holder after which a
	// contender reads the lease.
	SilenceTimeout time.Duration
}

// Msg is an input of Model.Update: one of the types whose names end in Msg.
type Msg any

// HeartbeatMsg is a heartbeat of the holder of a term.
type HeartbeatMsg struct {
	Term Term
}

// ReadMsg is the response to a ReadEffect.
type ReadMsg struct {
	Record  Record
	Version uint64
	// Found is false when there is no lease yet.
	Found bool
	// Failed is set when the read failed; the other fields then mean nothing.
	Failed bool
}

// Outcome is the result of a write.
type Outcome uint8

const (
	// OutcomeWritten means that the write took effect.
	OutcomeWritten Outcome = iota + 1
	// OutcomeConflict means that the object had another version.
	OutcomeConflict
	// OutcomeUnknown means that the write may have taken effect.
	OutcomeUnknown
)

// WriteMsg is the response to a WriteEffect.
type WriteMsg struct {
	Outcome Outcome
	Version uint64
}

// TickMsg makes the model check its timeouts.
type TickMsg struct{}

// Effect is an action that Model.Update asks the runtime for: a ReadEffect or a
// WriteEffect.
type Effect any

// ReadEffect asks for the lease object.
type ReadEffect struct{}

// WriteEffect asks for a conditional write of the lease object.
type WriteEffect struct {
	Record Record
	// ExpectedVersion is the version that the stored object must have; zero means
	// that there must be none.
	ExpectedVersion uint64
}

// Model is the state of one contender. It belongs to one goroutine.
type Model struct {
	config        Config
	holding       bool
	callPending   bool
	term          Term
	renewals      uint64
	version       uint64
	pending       Record
	seenVersion   uint64
	seenAt        time.Time
	silentSince   time.Time
	heartbeatTerm Term
	nextCallAt    time.Time
	renewedAt     time.Time
}

// NewModel returns a contender that has received no heartbeat yet. Its silence counts
// from now.
func NewModel(c Config, now time.Time) *Model {
	return &Model{
		config:      c,
		silentSince: now,
	}
}

// Holding reports whether this instance holds the lease, as far as it knows. A
// holder that cannot reach the platform remains the holder, because a successor
// has a higher term, which fences it.
func (m *Model) Holding() bool {
	return m.holding
}

// Term returns the term of the lease that this instance holds or last held, or zero.
func (m *Model) Term() Term {
	return m.term
}

// Stale reports whether this instance holds the lease, but has not renewed it for more
// than the TTL.
func (m *Model) Stale(now time.Time) bool {
	return m.holding && now.Sub(m.renewedAt) > m.config.TTL
}

// Update takes one message and returns the effect to perform, or nil.
func (m *Model) Update(now time.Time, msg Msg) Effect {
	switch x := msg.(type) {
	case HeartbeatMsg:
		m.handleHeartbeat(now, x)
	case ReadMsg:
		return m.handleRead(now, x)
	case WriteMsg:
		return m.handleWrite(now, x)
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) handleHeartbeat(now time.Time, msg HeartbeatMsg) {
	if msg.Term < m.heartbeatTerm {
		return
	}
	m.heartbeatTerm = msg.Term
	m.silentSince = now
	if m.holding && msg.Term > m.term {
		m.setNotHolding(now)
	}
}

func (m *Model) tick(now time.Time) Effect {
	if m.callPending || now.Before(m.nextCallAt) {
		return nil
	}
	if m.holding {
		m.nextCallAt = now.Add(m.config.RenewInterval)
		return m.startWrite(m.renewalEffect())
	}
	if now.Sub(m.silentSince) < m.config.SilenceTimeout {
		return nil
	}
	m.callPending = true
	m.nextCallAt = now.Add(m.config.RenewInterval)
	return ReadEffect{}
}

func (m *Model) handleRead(now time.Time, msg ReadMsg) Effect {
	m.callPending = false
	if msg.Failed {
		return nil
	}
	if msg.Found && msg.Record.Holder == m.config.Holder {
		m.setHolding(now, msg.Record, msg.Version)
		return nil
	}
	if m.holding {
		m.setNotHolding(now)
	}
	if !msg.Found {
		return m.startWrite(m.acquireEffect(0, 0))
	}
	if msg.Version != m.seenVersion {
		m.seenVersion = msg.Version
		m.seenAt = now
		return nil
	}
	if now.Sub(m.seenAt) >= m.config.TTL {
		return m.startWrite(m.acquireEffect(msg.Record.Term, msg.Version))
	}
	return nil
}

func (m *Model) handleWrite(now time.Time, msg WriteMsg) Effect {
	m.callPending = false
	switch msg.Outcome {
	case OutcomeWritten:
		m.setHolding(now, m.pending, msg.Version)
	case OutcomeConflict, OutcomeUnknown:
		m.callPending = true
		return ReadEffect{}
	}
	return nil
}

func (m *Model) setHolding(now time.Time, r Record, version uint64) {
	if m.heartbeatTerm > r.Term {
		m.setNotHolding(now)
		return
	}
	m.holding = true
	m.term = r.Term
	m.renewals = r.Renewals
	m.version = version
	m.renewedAt = now
	m.heartbeatTerm = r.Term
	m.nextCallAt = now.Add(m.config.RenewInterval)
}

func (m *Model) setNotHolding(now time.Time) {
	m.holding = false
	m.silentSince = now
}

func (m *Model) startWrite(e WriteEffect) Effect {
	m.callPending = true
	m.pending = e.Record
	return e
}

func (m *Model) renewalEffect() WriteEffect {
	return WriteEffect{
		Record: Record{
			Holder:   m.config.Holder,
			Address:  m.config.Address,
			Term:     m.term,
			Renewals: m.renewals + 1,
		},
		ExpectedVersion: m.version,
	}
}

func (m *Model) acquireEffect(last Term, version uint64) WriteEffect {
	return WriteEffect{
		Record: Record{
			Holder:  m.config.Holder,
			Address: m.config.Address,
			Term:    max(last, m.heartbeatTerm) + 1,
		},
		ExpectedVersion: version,
	}
}
