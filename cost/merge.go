package cost

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/routing"
)

const (
	// maxReportWeight bounds the samples of one report, so that none decides alone: some 15 s
	// of a backend server with five slots and 70 ms for each request.
	maxReportWeight = 1000
	// maxDeviation is the factor from the median of all reports of a route to which a report
	// is cut. Speeds differ by a factor of three in one service.
	maxDeviation = 4
	// minLengthReports is the number of reports of the length of a route's responses that are
	// needed for a service-wide one. With fewer, that of one broken backend server, which may
	// be the first to have enough responses, would decide.
	minLengthReports = 3
)

// Merger merges the costs that the agents of one service report into those of a backend server
// of mean speed. The mean of a route is weighted by samples. As long as less than half of the
// reports of a route are false, it is within maxDeviation times the range of the true ones. The
// length of responses is the median, which is within the range of the true ones then.
type Merger struct {
	reports map[routing.Address][]RouteCost
	means   []time.Duration
	lengths []uint32
}

// NewMerger returns a merger without reports.
func NewMerger() *Merger {
	return &Merger{
		reports: map[routing.Address][]RouteCost{},
	}
}

// Add adds one report whose samples count with a weight, which is one for a new report and
// less for an older one.
func (m *Merger) Add(costs []RouteCost, weight float64) {
	for _, c := range costs {
		if c.Mean <= 0 {
			continue
		}
		c = c.bounded()
		c.Samples = uint32(math.Round(float64(min(c.Samples, maxReportWeight)) * min(max(weight, 0), 1)))
		if c.Samples > 0 {
			m.reports[c.Route] = append(m.reports[c.Route], c)
		}
	}
}

// Take returns the costs of the routes with the most work, at most n, and removes all reports.
func (m *Merger) Take(n int) []RouteCost {
	var l []RouteCost
	for route, reports := range m.reports {
		if len(reports) == 0 {
			delete(m.reports, route)
			continue
		}
		l = append(l, m.merge(reports))
		// The next merge probably has the same routes.
		m.reports[route] = reports[:0]
	}
	slices.SortFunc(l, func(a, b RouteCost) int {
		return cmp.Or(cmp.Compare(b.work(), a.work()), compareAddresses(a.Route, b.Route))
	})
	return l[:min(len(l), max(n, 0))]
}

// merge merges the reports of one route.
func (m *Merger) merge(reports []RouteCost) RouteCost {
	m.means = m.means[:0]
	for _, c := range reports {
		m.means = append(m.means, c.Mean)
	}
	slices.Sort(m.means)
	median := m.means[(len(m.means)-1)/2]
	var mean, p50, p90, p99, requests, total, flowTotal float64
	for _, c := range reports {
		w := float64(c.Samples)
		bounded := min(max(c.Mean, median/maxDeviation), median*maxDeviation)
		scale := w * float64(bounded) / float64(c.Mean)
		mean += w * float64(bounded)
		p50 += scale * float64(c.P50)
		p90 += scale * float64(c.P90)
		p99 += scale * float64(c.P99)
		total += w
		if c.RequestsPerFlow > 0 {
			requests += w * c.RequestsPerFlow
			flowTotal += w
		}
	}
	return RouteCost{
		Route:           reports[0].Route,
		Mean:            time.Duration(mean / total),
		P50:             time.Duration(p50 / total),
		P90:             time.Duration(p90 / total),
		P99:             time.Duration(p99 / total),
		Samples:         uint32(min(total, math.MaxUint32)),
		RequestsPerFlow: requests / max(flowTotal, 1),
		ResponseBytes:   m.mergeLengths(reports),
	}.bounded()
}

// mergeLengths returns the median length of the responses of one route, without weights: samples
// are what the agents say they are.
func (m *Merger) mergeLengths(reports []RouteCost) uint32 {
	m.lengths = m.lengths[:0]
	for _, c := range reports {
		if c.ResponseBytes > 0 {
			m.lengths = append(m.lengths, c.ResponseBytes)
		}
	}
	if len(m.lengths) < minLengthReports {
		return 0
	}
	slices.Sort(m.lengths)
	return m.lengths[(len(m.lengths)-1)/2]
}
