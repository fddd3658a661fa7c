package cost

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros bound the work that is recorded, and digits is its precision
	// in significant digits.
	minMicros = 100
	maxMicros = 60_000_000
	digits    = 2
	// window is the time after which the weight of observations is halved.
	window = 10 * time.Second
	// sampleUnits is how often an observation is recorded, so that parts of samples can be
	// recorded as well.
	sampleUnits = 25
	// priorUnits and unknownUnits are the units of each of a distribution's points that make
	// the weight of a prior 10 samples, and that of DefaultMean one.
	priorUnits   = 10 * newestWeight * sampleUnits / points
	unknownUnits = newestWeight * sampleUnits / points
	// maxKeptSamples bounds the weight of what was known before a change of speed, so that new
	// observations soon decide. With 20, the tail was lost when a change was recognised in
	// several steps: 7 s after a slowdown by five at 20 requests a second, the 99th
	// percentile was 0.76 of the true one, and 0.93 with 100.
	maxKeptSamples = 100
	// minRefreshInterval is the time between two updates of a distribution with many
	// samples: an update takes some 100 microseconds.
	minRefreshInterval = 250 * time.Millisecond
	// fewSamples is the number of samples below which each changes the distribution.
	fewSamples = 20
)

// windowWeights are the weights of the windows by their age.
var windowWeights = [...]int{newestWeight, 2, 1}

const newestWeight = 4

// routeEstimate is what a table knows about one route.
type routeEstimate struct {
	// windows are the observations of the latest windows, the newest first; nil without any.
	windows   [len(windowWeights)]*hdrhistogram.Histogram
	rotatedAt time.Time
	// distribution is that of the windows and the prior, as of refreshedAt.
	distribution distribution
	refreshedAt  time.Time
	// stale is set while the distribution lacks observations or the present prior.
	stale bool
	// prior has the service-wide costs, nil for none.
	prior *distribution
	// ownMean is the mean of the windows in microseconds, without the prior.
	ownMean float64
	drift   evidence
	flows   flowLength
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, digits)
}

func (r *routeEstimate) allocate(now time.Time) {
	for i := range r.windows {
		r.windows[i] = newHistogram()
	}
	r.rotatedAt = now
}

// reset forgets everything, and keeps the memory of the histograms.
func (r *routeEstimate) reset(now time.Time) {
	windows := r.windows
	for _, h := range windows {
		if h != nil {
			h.Reset()
		}
	}
	*r = routeEstimate{
		windows:      windows,
		rotatedAt:    now,
		stale:        true,
		distribution: unknownDistribution,
	}
}

// samples returns the decayed number of observations.
func (r *routeEstimate) samples() float64 {
	if r.windows[0] == nil {
		return 0
	}
	n := 0.0
	for i, h := range r.windows {
		n += float64(h.TotalCount()) * float64(windowWeights[i])
	}
	return n / (newestWeight * sampleUnits)
}

func (r *routeEstimate) lessUsed(x *routeEstimate) bool {
	return r.samples() < x.samples()
}

func (r *routeEstimate) record(micros float64) {
	record(r.windows[0], micros, sampleUnits)
	r.stale = true
}

func record(h *hdrhistogram.Histogram, micros float64, units int64) {
	// A value within the bounds is always recorded.
	_ = h.RecordValues(int64(min(max(micros, minMicros), maxMicros)), units)
}

// rotate starts a new window. The distribution must be up to date. Once all windows would be
// empty, the distribution is kept with a small weight, so that a backend server that was slow
// and gets no requests any more is not taken for slow forever.
func (r *routeEstimate) rotate(now time.Time) {
	if r.windows[0].TotalCount()+r.windows[1].TotalCount() == 0 && r.windows[2].TotalCount() > 0 {
		r.keep(1, 1)
	} else {
		oldest := r.windows[2]
		oldest.Reset()
		r.windows[1], r.windows[2] = r.windows[0], r.windows[1]
		r.windows[0] = oldest
	}
	r.rotatedAt = now
	r.stale = true
}

// rescale multiplies the distribution after a change of speed, and gives it less weight.
func (r *routeEstimate) rescale(factor float64) {
	if r.windows[0] == nil || r.samples() == 0 {
		return
	}
	kept := min(r.samples(), maxKeptSamples)
	r.keep(factor, max(1, int64(kept*sampleUnits/points)))
}

// keep replaces the windows by the distribution, with units of weight for each of its points.
func (r *routeEstimate) keep(factor float64, units int64) {
	for _, h := range r.windows {
		h.Reset()
	}
	for _, v := range r.distribution.values {
		record(r.windows[0], v*factor, units)
	}
	r.stale = true
	r.refreshedAt = time.Time{}
}

// due reports whether the distribution is to be updated.
func (r *routeEstimate) due(now time.Time) bool {
	return r.stale && (now.Sub(r.refreshedAt) >= minRefreshInterval || r.samples() < fewSamples)
}

// refresh updates the distribution from the windows and the prior. merged is scratch space,
// and slowness the factor from the service's costs to those of this backend server.
func (r *routeEstimate) refresh(now time.Time, merged *hdrhistogram.Histogram, slowness float64) {
	r.stale = false
	r.refreshedAt = now
	merged.Reset()
	for i, h := range r.windows {
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		for range windowWeights[i] {
			merged.Merge(h)
		}
	}
	r.ownMean = merged.Mean()
	if r.prior != nil {
		for _, v := range r.prior.values {
			record(merged, v*slowness, priorUnits)
		}
	} else {
		for _, v := range unknownDistribution.values {
			record(merged, v, unknownUnits)
		}
	}
	r.distribution.update(merged)
}
