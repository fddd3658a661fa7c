package target

import "math"

const (
	// startShare is the part of the limit assumed of an unknown target: speeds
	// differ by up to four.
	startShare = 0.25
	// minShare keeps misleading reports from closing a target for good.
	minShare = 1.0 / 16
	// sampleWindow is the number of reports whose counts must agree; it spans
	// the lag of a report.
	sampleWindow = 4
	// steadyRatio is how far counts may differ within a window.
	steadyRatio = 1.25
	// minActive is the count below which a report says too little.
	minActive = 8
	// sampleWeight is the weight of a new sample.
	sampleWeight = 0.3
	// coldRatio is the fall of capacity that is taken for a restart.
	coldRatio = 0.5
	// coldReports is how many reports in a row must agree on a fall.
	coldReports = 3
)

// capacityEstimator estimates a target's capacity from its own reports. It ignores
// reports that are zero, out of range, frozen, or older than the counts.
type capacityEstimator struct {
	limit      float64
	estimate   float64
	counts     [sampleWindow]uint32
	reports    int
	lastLoad   float64
	lastActive uint32
	falls      int
}

func newCapacityEstimator(limit uint32) capacityEstimator {
	return capacityEstimator{
		limit:    float64(limit),
		estimate: math.Max(1, float64(limit)*startShare),
	}
}

// rescale keeps the learned share of the limit when the limit changes.
func (l *capacityEstimator) rescale(limit uint32) {
	share := l.estimate / math.Max(1, l.limit)
	l.limit = float64(limit)
	l.estimate = math.Max(1, share*l.limit)
}

// clearRecent drops the recent counts after a restart and keeps the estimate.
func (l *capacityEstimator) clearRecent() {
	l.reports = 0
	l.falls = 0
}

// observe takes one report and returns true when the capacity has fallen so
// far that the target must be cold.
func (l *capacityEstimator) observe(active uint32, load, warmth float64) bool {
	l.counts[l.reports%sampleWindow] = active
	l.reports++
	low, high := l.countRange()
	if l.reports < sampleWindow || !l.usable(active, load) {
		return false
	}
	if low < minActive || float64(high) > steadyRatio*float64(low) {
		return false
	}
	sample := float64(low) / load
	if sample < coldRatio*l.estimate*warmth {
		l.falls++
		return l.falls >= coldReports
	}
	l.falls = 0
	if warmth >= 1 {
		l.addSample(sample)
	}
	return false
}

func (l *capacityEstimator) addSample(sample float64) {
	sample = min(max(sample, l.limit*minShare), l.limit)
	l.estimate += sampleWeight * (sample - l.estimate)
}

// usable rejects reports that cannot be right, and those that stay the same to
// the last digit while the count moves.
func (l *capacityEstimator) usable(active uint32, load float64) bool {
	if math.IsNaN(load) || load <= 0 || load > 100 {
		return false
	}
	if load != l.lastLoad {
		l.lastLoad = load
		l.lastActive = active
		return true
	}
	a := float64(active)
	b := float64(l.lastActive)
	return a <= 1.1*b && b <= 1.1*a
}

func (l *capacityEstimator) countRange() (uint32, uint32) {
	low := l.counts[0]
	high := l.counts[0]
	for _, c := range l.counts[1:min(l.reports, sampleWindow)] {
		low = min(low, c)
		high = max(high, c)
	}
	return low, high
}
