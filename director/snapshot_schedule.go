package director

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// SnapshotSchedule decides when a balancer saves its hints again. It answers the usual
// load of long flows, of which few open or end in some seconds: a snapshot that still has
// nearly all of them is as good as a new one, and each costs a call to the store.
type SnapshotSchedule struct {
	savedAt time.Time
	// saved has the flows of the latest snapshot and whether they were confirmed.
	saved map[flow.Tuple]bool
}

const (
	// uncoveredDivisor is the inverse of the part of the flows that may be missing from
	// the latest snapshot.
	uncoveredDivisor = 8
	// maxSnapshotAge is the age at which a snapshot is replaced in any case, because the
	// acknowledgement numbers in it have become too old for a reset.
	maxSnapshotAge = 20 * time.Second
)

// Due reports whether the hints l should be saved.
func (s *SnapshotSchedule) Due(now time.Time, l []FlowHint) bool {
	if len(l) == 0 {
		return false
	}
	if s.savedAt.IsZero() || now.Sub(s.savedAt) >= maxSnapshotAge {
		return true
	}
	uncovered := 0
	for _, f := range l {
		if confirmed, ok := s.saved[f.Tuple]; !ok || (f.Confirmed && !confirmed) {
			uncovered++
		}
	}
	return uncovered*uncoveredDivisor >= len(l)
}

// Saved records that the hints l were saved.
func (s *SnapshotSchedule) Saved(now time.Time, l []FlowHint) {
	s.savedAt = now
	s.saved = make(map[flow.Tuple]bool, len(l))
	for _, f := range l {
		s.saved[f.Tuple] = f.Confirmed
	}
}
