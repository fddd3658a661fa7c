package agent

import (
	"math"
	"time"
)

// loadReport is the load that was last reported to peers.
type loadReport struct {
	at          time.Time
	utilisation float64
	limit       uint32
}

// reportLoad reports the load to peers when it has changed, and otherwise every
// maxLoadReportInterval.
func (m *Model) reportLoad(now time.Time) {
	l := m.limit(now)
	u := m.utilisation(now)
	changed := math.Abs(u-m.lastLoad.utilisation) >= loadReportStep || limitChanged(m.lastLoad.limit, l)
	since := now.Sub(m.lastLoad.at)
	if since < minLoadReportInterval || (!changed && since < maxLoadReportInterval) {
		return
	}
	m.lastLoad = loadReport{
		at:          now,
		utilisation: u,
		limit:       l,
	}
	m.emit(LoadEffect{
		Active: m.gate.Active(),
		Limit:  l,
	})
}

// limitChanged reports whether a limit changed enough to be reported.
func limitChanged(old, now uint32) bool {
	if (old == 0) != (now == 0) {
		return true
	}
	return math.Abs(float64(now)-float64(old)) >= loadReportStep*float64(old)
}

func (m *Model) handleLoad(now time.Time, x LoadMsg) {
	p := m.peer(x.From, now)
	p.active = x.Active
	p.limit = x.Limit
	p.offered = 0
}

// limit returns the number of flows that this target can handle now; it is zero
// when the target may take no new flow.
func (m *Model) limit(now time.Time) uint32 {
	if !m.admits() {
		return 0
	}
	return m.gate.Limit(now)
}

// admits reports whether this target may take new flows at all.
func (m *Model) admits() bool {
	if m.stopping || m.fenced || m.self == nil {
		return false
	}
	return m.self.HomeEligible && !m.self.OutOfService
}

func (m *Model) utilisation(now time.Time) float64 {
	return float64(m.gate.Active()) / float64(max(1, m.gate.Limit(now)))
}
