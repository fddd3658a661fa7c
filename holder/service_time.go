package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
)

func (m *Model) costRequestStarted(_ time.Time, _ flow.Tuple, _ *entry) {}

func (m *Model) costResponseStarted(_ time.Time, _ flow.Tuple, _ *entry, _ time.Duration) {}

func (m *Model) costRequestFinished(_ time.Time, _ flow.Tuple, _ *entry, _ requestEnd) {}

// serverLoad returns the work that the backend server still has to do.
func (m *Model) serverLoad(_ time.Time) cost.Load {
	return cost.Load{}
}
