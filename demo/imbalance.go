package demo

// imbalanceMeter averages the most loaded target's load over the mean load of
// its service.
type imbalanceMeter struct {
	samples int
	sum     float64
	windows map[string][]float64
	worst   float64
}

// windowSamples is the number of samples in ten seconds.
const windowSamples = 100

// leastLoad is the mean load below which single flows decide the ratio.
const leastLoad = 0.05

// add takes the loads of one service's usable targets.
func (m *imbalanceMeter) add(service string, loads []float64) {
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
	m.addWindow(service, top/mean)
}

// addWindow keeps the highest mean of any ten seconds of one service.
func (m *imbalanceMeter) addWindow(service string, x float64) {
	if m.windows == nil {
		m.windows = map[string][]float64{}
	}
	m.windows[service] = append(m.windows[service], x)
	w := m.windows[service]
	if len(w) > windowSamples {
		w = w[1:]
		m.windows[service] = w
	}
	if len(w) < windowSamples {
		return
	}
	sum := 0.0
	for _, v := range w {
		sum += v
	}
	m.worst = max(m.worst, sum/windowSamples)
}

func (m *imbalanceMeter) mean() float64 {
	if m.samples == 0 {
		return 0
	}
	return m.sum / float64(m.samples)
}
