package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
)

// SetServerLoad replaces the learned load of the backend server in admission.
func (m *Model) SetServerLoad(f func(time.Time) cost.Load) {
	m.admission.serverLoad = f
}
