package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/outlier"
)

func (m *Model) outcomeRequestStarted(_ time.Time, _ flow.Tuple, _ *entry) {}

func (m *Model) outcomeResponseStarted(_ time.Time, _ flow.Tuple, _ *entry, _ time.Duration) {}

func (m *Model) outcomeRequestFinished(_ time.Time, _ flow.Tuple, _ *entry, _ requestEnd) {}

// responseFailed reports whether the response to a flow's latest request was a failure. It is
// called when the request has ended, and before that once the response has begun some time ago.
func (m *Model) responseFailed(_ *entry) bool {
	return false
}

// failures returns the share of recent requests that failed.
func (m *Model) failures(_ time.Time) outlier.Estimate {
	return outlier.Estimate{}
}
