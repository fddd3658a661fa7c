// Package lease decides who holds a lease that is kept as one object of the
// platform. Each take-over raises the term, which fences everything that an
// earlier holder still sends. No clocks are compared: a holder is taken for
// dead when its object has not changed for the whole TTL of the observer.
package lease

import "time"

// Term counts the holders of a lease.
type Term uint32

// Record is the stored form of a lease.
type Record struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Term     Term   `json:"term"`
	Renewals uint64 `json:"renewals"`
}

// Config bounds a lease.
type Config struct {
	// Holder names this life of the instance; it must differ after a restart.
	Holder string
	// Address is where others reach the holder.
	Address string
	// TTL is how long a lease lives without renewal.
	TTL time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// SilenceTimeout is how long a follower hears no holder before it reads the lease.
	SilenceTimeout time.Duration
}

// Msg is anything that Model.Update takes.
type Msg any

// HeartbeatMsg says that a holder is alive.
type HeartbeatMsg struct {
	Term Term
}

// ReadMsg is the answer to a ReadEffect.
type ReadMsg struct {
	Record  Record
	Version uint64
	// Found is false when there is no lease yet.
	Found  bool
	Failed bool
}

// Outcome is what became of a write.
type Outcome uint8

const (
	// OutcomeWritten means that the write took effect.
	OutcomeWritten Outcome = iota + 1
	// OutcomeConflict means that the object had another version.
	OutcomeConflict
	// OutcomeUnknown means that the write may have taken effect.
	OutcomeUnknown
)

// WriteMsg is the answer to a WriteEffect.
type WriteMsg struct {
	Outcome Outcome
	Version uint64
}

// TickMsg drives timeouts.
type TickMsg struct{}

// Effect is anything that the runtime does on behalf of Model.Update.
type Effect any

// ReadEffect asks for the lease object.
type ReadEffect struct{}

// WriteEffect asks for a conditional write of the lease object.
type WriteEffect struct {
	Record          Record
	ExpectedVersion uint64
}

// Model is the state of one contender. It belongs to one goroutine.
type Model struct {
	config    Config
	holding   bool
	busy      bool
	term      Term
	renewals  uint64
	version   uint64
	pending   Record
	seen      uint64
	seenAt    time.Time
	heardAt   time.Time
	heardTerm Term
	callAt    time.Time
	renewedAt time.Time
}

// NewModel returns a contender that has heard nothing yet.
func NewModel(c Config, now time.Time) *Model {
	return &Model{
		config:  c,
		heardAt: now,
	}
}

// Holding reports whether this instance holds the lease, as far as it knows. A
// holder that cannot reach the platform goes on: a successor has a higher term.
func (m *Model) Holding() bool {
	return m.holding
}

// Term returns the term of the held lease.
func (m *Model) Term() Term {
	return m.term
}

// Stale reports whether the holder has not renewed for a whole TTL.
func (m *Model) Stale(now time.Time) bool {
	return m.holding && now.Sub(m.renewedAt) > m.config.TTL
}

// Update takes one message and returns what is to be done, if anything.
func (m *Model) Update(now time.Time, msg Msg) Effect {
	switch x := msg.(type) {
	case HeartbeatMsg:
		m.heard(now, x)
	case ReadMsg:
		return m.read(now, x)
	case WriteMsg:
		return m.wrote(now, x)
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) heard(now time.Time, x HeartbeatMsg) {
	if x.Term < m.heardTerm {
		return
	}
	m.heardTerm = x.Term
	m.heardAt = now
	if m.holding && x.Term > m.term {
		m.lose(now)
	}
}

func (m *Model) tick(now time.Time) Effect {
	if m.busy || now.Before(m.callAt) {
		return nil
	}
	if m.holding {
		m.callAt = now.Add(m.config.RenewInterval)
		return m.write(m.renewal())
	}
	if now.Sub(m.heardAt) < m.config.SilenceTimeout {
		return nil
	}
	m.busy = true
	m.callAt = now.Add(m.config.RenewInterval)
	return ReadEffect{}
}

func (m *Model) read(now time.Time, x ReadMsg) Effect {
	m.busy = false
	if x.Failed {
		return nil
	}
	if x.Found && x.Record.Holder == m.config.Holder {
		m.hold(now, x.Record, x.Version)
		return nil
	}
	if m.holding {
		m.lose(now)
	}
	if !x.Found {
		return m.write(m.claim(0, 0))
	}
	if x.Version != m.seen {
		m.seen = x.Version
		m.seenAt = now
		return nil
	}
	if now.Sub(m.seenAt) >= m.config.TTL {
		return m.write(m.claim(x.Record.Term, x.Version))
	}
	return nil
}

func (m *Model) wrote(now time.Time, x WriteMsg) Effect {
	m.busy = false
	switch x.Outcome {
	case OutcomeWritten:
		m.hold(now, m.pending, x.Version)
	case OutcomeConflict, OutcomeUnknown:
		m.busy = true
		return ReadEffect{}
	}
	return nil
}

func (m *Model) hold(now time.Time, r Record, version uint64) {
	if m.heardTerm > r.Term {
		m.lose(now)
		return
	}
	m.holding = true
	m.term = r.Term
	m.renewals = r.Renewals
	m.version = version
	m.renewedAt = now
	m.heardTerm = r.Term
	m.callAt = now.Add(m.config.RenewInterval)
}

func (m *Model) lose(now time.Time) {
	m.holding = false
	m.heardAt = now
}

func (m *Model) write(e WriteEffect) Effect {
	m.busy = true
	m.pending = e.Record
	return e
}

func (m *Model) renewal() WriteEffect {
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

func (m *Model) claim(last Term, version uint64) WriteEffect {
	return WriteEffect{
		Record: Record{
			Holder:  m.config.Holder,
			Address: m.config.Address,
			Term:    max(last, m.heardTerm) + 1,
		},
		ExpectedVersion: version,
	}
}
