package director

import "time"

// ejected reports whether a target gets no new flow with this seed because its backend server
// fails requests.
func (m *Model) ejected(_ time.Time, _ *member, _ uint64) bool {
	return false
}
