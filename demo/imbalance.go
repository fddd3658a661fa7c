package demo

// imbalanceMeter averages the ratio of the highest load to the mean load among
// the targets of a service.
type imbalanceMeter struct {
	samples     int
	sum         float64
	windows     map[string][]float64
	worstWindow float64
}

// windowSamples is the number of samples in ten seconds.
const windowSamples = 100

// minMeanLoad is the mean load below which single flows dominate the ratio.
const minMeanLoad = 0.05

// add adds one sample: the loads of one service's usable targets.
func (m *imbalanceMeter) add(service string, loads []float64) {
	mean := 0.0
	top := 0.0
	for _, l := range loads {
		mean += l
		top = max(top, l)
	}
	mean /= max(1, float64(len(loads)))
	if mean < minMeanLoad {
		return
	}
	m.samples++
	m.sum += top / mean
	m.addWindow(service, top/mean)
}

// addWindow adds one ratio to a service's window of the last windowSamples ratios
// and keeps the highest mean of any full window.
func (m *imbalanceMeter) addWindow(service string, value float64) {
	if m.windows == nil {
		m.windows = map[string][]float64{}
	}
	m.windows[service] = append(m.windows[service], value)
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
	m.worstWindow = max(m.worstWindow, sum/windowSamples)
}

func (m *imbalanceMeter) mean() float64 {
	if m.samples == 0 {
		return 0
	}
	return m.sum / float64(m.samples)
}
