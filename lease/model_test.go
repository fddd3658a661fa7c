package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// store is a platform with one object, the lease.
type store struct {
	record  Record
	version uint64
}

func (s *store) write(e WriteEffect) WriteMsg {
	if e.ExpectedVersion != s.version {
		return WriteMsg{
			Outcome: OutcomeConflict,
		}
	}
	s.version++
	s.record = e.Record
	return WriteMsg{
		Outcome: OutcomeWritten,
		Version: s.version,
	}
}

func (s *store) read() ReadMsg {
	return ReadMsg{
		Record:  s.record,
		Version: s.version,
		Found:   s.version > 0,
	}
}

// drive sends a tick to the model and answers all calls that follow from it.
func (s *store) drive(m *Model, now time.Time) {
	for e := m.Update(now, TickMsg{}); e != nil; {
		switch x := e.(type) {
		case ReadEffect:
			e = m.Update(now, s.read())
		case WriteEffect:
			e = m.Update(now, s.write(x))
		}
	}
}

func newContender(name string, now time.Time) *Model {
	return NewModel(Config{
		Holder:         name,
		TTL:            1500 * time.Millisecond,
		RenewInterval:  500 * time.Millisecond,
		SilenceTimeout: 2 * time.Second,
	}, now)
}

func TestOneHolderAtATime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &store{}
	a := newContender("a", now)
	b := newContender("b", now)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		s.drive(a, now)
		s.drive(b, now)
		require.False(t, a.Holding() && b.Holding())
	}
	require.True(t, a.Holding())
	require.Equal(t, Term(1), a.Term())
}

// TestPausedHolderIsFenced pauses the holder for longer than its TTL. The successor
// gets a higher term, and the late write of the first holder fails.
func TestPausedHolderIsFenced(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &store{}
	a := newContender("a", now)
	b := newContender("b", now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		s.drive(a, now)
		b.Update(now, HeartbeatMsg{Term: a.Term()})
	}
	require.True(t, a.Holding())
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		s.drive(b, now)
	}
	require.True(t, b.Holding())
	require.Equal(t, Term(2), b.Term())
	require.True(t, a.Holding(), "the paused holder cannot know yet")
	now = now.Add(time.Second)
	s.drive(a, now)
	require.False(t, a.Holding())
}

// TestLostResponse loses the response to the write that took the lease. The contender
// finds in the next read that it is the holder.
func TestLostResponse(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &store{}
	a := newContender("a", now)
	now = now.Add(3 * time.Second)
	require.Equal(t, ReadEffect{}, a.Update(now, TickMsg{}))
	w, ok := a.Update(now, s.read()).(WriteEffect)
	require.True(t, ok)
	s.write(w)
	require.Equal(t, ReadEffect{}, a.Update(now, WriteMsg{Outcome: OutcomeUnknown}))
	a.Update(now, s.read())
	require.True(t, a.Holding())
	require.Equal(t, Term(1), a.Term())
}

// TestHolderKeepsLeaseDuringOutage lets every call to the platform fail once the lease
// is held. The holder keeps it until it receives a heartbeat of a higher term.
func TestHolderKeepsLeaseDuringOutage(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &store{}
	a := newContender("a", now)
	now = now.Add(3 * time.Second)
	s.drive(a, now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for e := a.Update(now, TickMsg{}); e != nil; {
			if _, ok := e.(WriteEffect); ok {
				e = a.Update(now, WriteMsg{Outcome: OutcomeUnknown})
				continue
			}
			e = a.Update(now, ReadMsg{Failed: true})
		}
	}
	require.True(t, a.Holding())
	require.True(t, a.Stale(now))
	a.Update(now, HeartbeatMsg{Term: 2})
	require.False(t, a.Holding())
}
