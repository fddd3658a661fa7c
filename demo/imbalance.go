package demo

// imbalanceMeter averages the most loaded target's load over the mean load of
// its service.
type imbalanceMeter struct {
	samples int
	sum     float64
}

// leastLoad is the mean load below which single flows decide the ratio.
const leastLoad = 0.05

// add takes the loads of one service's usable targets.
func (m *imbalanceMeter) add(loads []float64) {
	mean := 0.0
	top := 0.0
	for _, l := range loads {
		mean += l
		top = max(top, l)
	}
	mean /= max(1, float64(len(loads)))
	if mean < leastLoad {
		return
	}
	m.samples++
	m.sum += top / mean
}

func (m *imbalanceMeter) mean() float64 {
	if m.samples == 0 {
		return 0
	}
	return m.sum / float64(m.samples)
}
