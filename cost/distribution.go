package cost

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// points is the number of values that stand for a distribution. A tail of 3% has three.
const points = 100

// distribution is a distribution of work in microseconds, in a form in which the expected rest
// of a request is found without a pass over a histogram.
type distribution struct {
	mean, p50, p90, p99 float64
	// clipped is the mean of the values after those above clipFactor times the mean are
	// replaced by that.
	clipped float64
	// values are the values in the middle of equal parts of the distribution, ascending.
	values [points]float64
	// above has the sum of the values from an index on.
	above [points + 1]float64
}

// unknownDistribution is that of a route of which nothing is known. It is exponential: that a
// request has run for some time says nothing about its rest.
var unknownDistribution = newUnknownDistribution()

func newUnknownDistribution() distribution {
	var d distribution
	mean := float64(DefaultMean / time.Microsecond)
	for i := range d.values {
		d.values[i] = -math.Log(1-quantile(i)) * mean
	}
	d.p50 = -math.Log(1-0.5) * mean
	d.p90 = -math.Log(1-0.9) * mean
	d.p99 = -math.Log(1-0.99) * mean
	d.normalise(mean)
	return d
}

// priorDistribution returns the distribution with given quantiles and mean: straight between
// the quantiles.
func priorDistribution(c RouteCost) distribution {
	d := distribution{
		p50: micros(c.P50),
		p90: micros(c.P90),
		p99: micros(c.P99),
	}
	for i := range d.values {
		switch q := quantile(i); {
		case q < 0.5:
			d.values[i] = d.p50 * (0.5 + q)
		case q < 0.9:
			d.values[i] = d.p50 + (d.p90-d.p50)*(q-0.5)/0.4
		default:
			d.values[i] = d.p90 + (d.p99-d.p90)*min(1, (q-0.9)/0.09)
		}
	}
	d.normalise(micros(c.Mean))
	return d
}

// quantile returns the quantile of the point with an index.
func quantile(i int) float64 {
	return (float64(i) + 0.5) / points
}

// update takes over the distribution of a histogram that is not empty.
func (d *distribution) update(h *hdrhistogram.Histogram) {
	for i := range d.values {
		d.values[i] = float64(h.ValueAtPercentile(100 * quantile(i)))
	}
	d.p50 = float64(h.ValueAtPercentile(50))
	d.p90 = float64(h.ValueAtPercentile(90))
	d.p99 = float64(h.ValueAtPercentile(99))
	d.normalise(h.Mean())
}

// normalise multiplies the values so that they have a mean, and computes what depends on them.
// Without it, the expected rest of a request that starts would differ from the mean by the
// values beyond the last point.
func (d *distribution) normalise(mean float64) {
	sum := 0.0
	for _, v := range d.values {
		sum += v
	}
	factor := mean * points / sum
	d.mean = mean
	d.clipped = 0
	for i := points - 1; i >= 0; i-- {
		d.values[i] *= factor
		d.above[i] = d.above[i+1] + d.values[i]
		d.clipped += min(d.values[i], clipFactor*mean) / points
	}
}

// rest returns the expected rest of a request that has run for some time. A request that has
// run for longer than any known one is expected to run for the mean of the route again.
func (d *distribution) rest(elapsed float64) float64 {
	i, _ := slices.BinarySearch(d.values[:], elapsed)
	if i == points {
		return d.mean
	}
	return max(0, d.above[i]/float64(points-i)-elapsed)
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
