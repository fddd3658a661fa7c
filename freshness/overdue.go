package freshness

import "time"

// overdueMargin is the time beyond the limit of an age after which it is reported: many times
// the usual duration of a read.
const overdueMargin = 300 * time.Millisecond

// Age returns the time since a piece of state in force was last confirmed as the newest.
func (m *Model) Age(now time.Time, k Kind) time.Duration {
	return min(now.Sub(m.adopted[k].confirmedAt), maxAge)
}

// reportOverdue reports when a confirmation becomes overdue, and when it has come.
func (m *Model) reportOverdue(now time.Time) {
	for k := range m.adopted {
		if m.adopted[k].confirmedAt.IsZero() {
			continue
		}
		m.reportOverdueKind(now, Kind(k))
	}
}

func (m *Model) reportOverdueKind(now time.Time, k Kind) {
	adopted := &m.adopted[k]
	age := m.Age(now, k)
	limit := m.maxAges[k]
	switch {
	case age >= maxAge:
		// It has not been confirmed since the start.
	case adopted.overdue > 0 && age <= limit:
		m.emit(ConfirmedAgainEffect{
			Kind: k,
			Age:  adopted.overdue,
		})
		adopted.overdue = 0
	case adopted.overdue > 0:
		adopted.overdue = max(adopted.overdue, age)
	case age > limit+overdueMargin:
		adopted.overdue = age
		m.emit(OverdueEffect{
			Kind: k,
			Age:  age,
		})
	}
}
