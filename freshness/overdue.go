package freshness

import "time"

// overdueMargin is the time beyond the limit of an age after which it is reported: many times
// the usual duration of a read.
const overdueMargin = 300 * time.Millisecond

// Age returns the time since a piece of state in force was last confirmed as the newest.
func (m *Model) Age(now time.Time, k Kind) time.Duration {
	return min(now.Sub(m.adopted[k].confirmedAt), maxAge)
}

// reportOverdue reports the state whose confirmation has become overdue since the last call.
func (m *Model) reportOverdue(now time.Time) {
	for k := range m.adopted {
		adopted := &m.adopted[k]
		age := m.Age(now, Kind(k))
		if adopted.overdue || adopted.confirmedAt.IsZero() || age <= m.maxAges[k]+overdueMargin {
			continue
		}
		adopted.overdue = true
		m.emit(OverdueEffect{
			Kind: Kind(k),
			Age:  age,
		})
	}
}

// endOverdue reports a confirmation that was overdue.
func (m *Model) endOverdue(k Kind, age time.Duration) {
	if !m.adopted[k].overdue {
		return
	}
	m.adopted[k].overdue = false
	m.emit(ConfirmedAgainEffect{
		Kind: k,
		Age:  age,
	})
}
