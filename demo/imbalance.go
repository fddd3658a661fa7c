package demo

// imbalanceMeter collects load divided by real capacity, once a sample.
type imbalanceMeter struct {
	samples int
	sum     float64
	worst   float64
	window  []float64
}

// windowSamples is the number of samples in ten seconds.
const windowSamples = 100

// leastLoad is the mean load below which single flows decide the ratio.
const leastLoad = 0.15

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
	x := top / mean
	m.samples++
	m.sum += x
	m.window = append(m.window, x)
	if len(m.window) > windowSamples {
		m.window = m.window[1:]
	}
	if len(m.window) == windowSamples {
		m.worst = max(m.worst, average(m.window))
	}
}

func (m *imbalanceMeter) mean() float64 {
	if m.samples == 0 {
		return 0
	}
	return m.sum / float64(m.samples)
}

func average(l []float64) float64 {
	s := 0.0
	for _, x := range l {
		s += x
	}
	return s / float64(len(l))
}
