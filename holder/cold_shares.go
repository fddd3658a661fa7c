package holder

import (
	"time"

	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/routing"
)

const (
	// coldBuckets is the number of parts of the last second that coldShares counts separately.
	coldBuckets = 10
	coldBucket  = time.Second / coldBuckets
	// maxReserved is the part of a cold rate that can be reserved for more urgent flows; the
	// rest keeps the less urgent ones from starving.
	maxReserved = 0.8
)

// coldShares counts the new flows of the last second that came while their number was limited,
// by the level of their priority. It answers a restart of everything: thousands of callers
// return at once, and cold backend servers take a few flows a second. A part of this rate is
// reserved for flows that are more urgent, as many as came in the last second, and none if
// none came.
type coldShares struct {
	buckets [coldBuckets]coldCounts
	latest  int64
}

// coldCounts has the flows of one bucket by level.
type coldCounts struct {
	came     [placement.PriorityLevels]uint16
	admitted [placement.PriorityLevels]uint16
}

// reserve counts a flow that came and returns the number of flows that are to be left for more
// urgent ones, out of rate.
func (c *coldShares) reserve(now time.Time, p routing.Priority, rate float64) float64 {
	c.advance(now)
	level := placement.Level(p)
	b := &c.buckets[c.latest%coldBuckets]
	b.came[level]++
	came := 0
	admitted := 0
	for i := range c.buckets {
		for l := range level {
			came += int(c.buckets[i].came[l])
			admitted += int(c.buckets[i].admitted[l])
		}
	}
	return max(0, min(float64(came), maxReserved*rate)-float64(admitted))
}

// admit counts a flow that was admitted.
func (c *coldShares) admit(p routing.Priority) {
	c.buckets[c.latest%coldBuckets].admitted[placement.Level(p)]++
}

// advance clears the buckets that are older than a second.
func (c *coldShares) advance(now time.Time) {
	n := now.UnixNano() / int64(coldBucket)
	if n <= c.latest {
		return
	}
	for i := max(c.latest+1, n-coldBuckets+1); i <= n; i++ {
		c.buckets[i%coldBuckets] = coldCounts{}
	}
	c.latest = n
}

// admitsCold reports whether a possibly cold backend server takes one more flow.
func (m *Model) admitsCold(now time.Time, packet DeliverMsg) bool {
	if !m.config.LoadAware {
		return m.coldBudget.Admit(now, m.coldRate())
	}
	p := packet.Class.Priority
	if !m.coldBudget.AdmitBeside(now, m.coldRate(), m.admission.cold.reserve(now, p, m.coldRate())) {
		return false
	}
	m.admission.cold.admit(p)
	return true
}
