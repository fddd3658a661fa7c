package outlier

import "time"

// Estimate is the share of a backend server's recent requests that failed.
type Estimate struct {
	Share float64
	// Samples is the decayed number of requests that the share is based on.
	Samples float64
}

const (
	// FailingShare is the share from which on a backend server is failing.
	FailingShare = 0.25
	// GoodShare is the share below which it no longer is. It is lower than FailingShare so that
	// a server near that does not change with every request.
	GoodShare = 0.12
	// MinSamples is the evidence that is needed to call a backend server failing: of fewer
	// requests, two that fail by chance would be enough.
	MinSamples = 8
	// ReturnTimeout is the time after which any share has fallen below GoodShare, if no
	// request has failed since.
	ReturnTimeout = 6 * time.Second
)

// Failing reports whether the backend server is failing, given whether it was before.
func (e Estimate) Failing(before bool) bool {
	if before {
		return e.Share >= GoodShare
	}
	return e.Share >= FailingShare && e.Samples >= MinSamples
}

// Percent returns the share as logs have it.
func (e Estimate) Percent() int {
	return int(e.Share*100 + 0.5)
}
