package target

import "math"

const (
	// startShare is the share of the limit that is assumed as the capacity of an
	// unknown target: the speeds of targets differ by a factor of up to four.
	startShare = 0.25
	// minShare is the least share of the limit that is learned as the capacity, so that
	// misleading reports cannot keep a target from getting flows permanently.
	minShare = 1.0 / 16
	// sampleWindow is the number of successive reports during which the count of flows
	// must be steady. It is longer than the lag of a report behind the count.
	sampleWindow = 4
	// steadyRatio is the greatest ratio of two counts within sampleWindow.
	steadyRatio = 1.25
	// minActive is the number of flows below which a reported load is too imprecise.
	minActive = 8
	// sampleWeight is the weight of a new sample in the estimate.
	sampleWeight = 0.3
	// coldRatio is the ratio of a sample to the expected capacity below which the
	// target may have restarted.
	coldRatio = 0.5
	// coldReports is the number of successive samples below coldRatio after which the
	// target counts as cold.
	coldReports = 3
)

// capacityEstimator estimates a target's capacity, in flows, from the load that the
// target reports. It ignores reports that are zero, out of range, frozen, or too old
// for the present count of flows.
type capacityEstimator struct {
	limit    float64
	estimate float64
	// counts has the numbers of flows at the latest reports.
	counts  [sampleWindow]uint32
	reports int
	// lastLoad is the latest load that differed from the one before, and lastActive
	// the number of flows at that report.
	lastLoad   float64
	lastActive uint32
	// falls counts the successive samples below coldRatio.
	falls int
}

func newCapacityEstimator(limit uint32) capacityEstimator {
	return capacityEstimator{
		limit:    float64(limit),
		estimate: math.Max(1, float64(limit)*startShare),
	}
}

// rescale keeps the learned share of the limit when the limit changes.
func (e *capacityEstimator) rescale(limit uint32) {
	share := e.estimate / math.Max(1, e.limit)
	e.limit = float64(limit)
	e.estimate = math.Max(1, share*e.limit)
}

// clearRecent discards the recent counts after a restart and keeps the estimate.
func (e *capacityEstimator) clearRecent() {
	e.reports = 0
	e.falls = 0
}

// observe takes a reported load at active flows, of a target that has warmed up to
// warmupShare of its capacity. Only a warm target changes the estimate. It returns true
// when the capacity has fallen so far that the target must be cold.
func (e *capacityEstimator) observe(active uint32, load, warmupShare float64) bool {
	e.counts[e.reports%sampleWindow] = active
	e.reports++
	low, high := e.countRange()
	if e.reports < sampleWindow || !e.usable(active, load) {
		return false
	}
	if low < minActive || float64(high) > steadyRatio*float64(low) {
		return false
	}
	sample := float64(low) / load
	if sample < coldRatio*e.estimate*warmupShare {
		e.falls++
		return e.falls >= coldReports
	}
	e.falls = 0
	if warmupShare >= 1 {
		e.addSample(sample)
	}
	return false
}

func (e *capacityEstimator) addSample(sample float64) {
	sample = min(max(sample, e.limit*minShare), e.limit)
	e.estimate += sampleWeight * (sample - e.estimate)
}

// usable reports whether a load can be right. It is false for values out of range and
// for a load that stays exactly the same while the number of flows changes by more than
// a tenth.
func (e *capacityEstimator) usable(active uint32, load float64) bool {
	if math.IsNaN(load) || load <= 0 || load > 100 {
		return false
	}
	if load != e.lastLoad {
		e.lastLoad = load
		e.lastActive = active
		return true
	}
	a := float64(active)
	b := float64(e.lastActive)
	return a <= 1.1*b && b <= 1.1*a
}

func (e *capacityEstimator) countRange() (uint32, uint32) {
	low := e.counts[0]
	high := e.counts[0]
	for _, c := range e.counts[1:min(e.reports, sampleWindow)] {
		low = min(low, c)
		high = max(high, c)
	}
	return low, high
}
