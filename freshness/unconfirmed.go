package freshness

import "time"

// unconfirmedMargin is the time beyond the limit of an age after which it is reported: many times
// the usual duration of a read.
const unconfirmedMargin = 300 * time.Millisecond

// Age returns the time since a piece of state in force was last confirmed as the newest.
func (m *Model) Age(now time.Time, k Kind) time.Duration {
	return min(now.Sub(m.adopted[k].confirmedAt), maxAge)
}

// reportUnconfirmed reports when a piece of state has been without a confirmation for too long,
// and when one has come.
func (m *Model) reportUnconfirmed(now time.Time) {
	for k := range m.adopted {
		if m.adopted[k].confirmedAt.IsZero() {
			continue
		}
		m.reportUnconfirmedKind(now, Kind(k))
	}
}

func (m *Model) reportUnconfirmedKind(now time.Time, k Kind) {
	adopted := &m.adopted[k]
	age := m.Age(now, k)
	limit := m.maxAges[k]
	switch {
	case age >= maxAge:
		// It has not been confirmed since the start.
	case adopted.unconfirmed > 0 && age <= limit:
		m.emit(ConfirmedAgainEffect{
			Kind: k,
			Age:  adopted.unconfirmed,
		})
		adopted.unconfirmed = 0
	case adopted.unconfirmed > 0:
		adopted.unconfirmed = max(adopted.unconfirmed, age)
	case age > limit+unconfirmedMargin:
		adopted.unconfirmed = age
		m.emit(UnconfirmedEffect{
			Kind: k,
			Age:  age,
		})
	}
}
