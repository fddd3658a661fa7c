package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilshed/lentilshed/holder"
)

// Which agents a balancer asks for reports. It follows those that it chooses among,
// and a few sentinels that show whether it is cut off itself; of all others it needs
// to know nothing. So what it hears grows with the services that it opens flows
// for, and not with the region.

const (
	// sentinelsNear and sentinelsFar are the numbers of agents followed always, in
	// the balancer's failure domain and in others: 3 reports of some 120 bytes
	// twice a second are 0.7 KB/s.
	sentinelsNear = 2
	sentinelsFar  = 1
	// renewLead is the rest of a lease at which it is renewed.
	renewLead = 700 * time.Millisecond
	// solicitPause is the least time between two questions to one agent.
	solicitPause = 300 * time.Millisecond
	// staleReport is the age of a report that is too old for a choice.
	staleReport = 650 * time.Millisecond
	// maxSolicits bounds the agents asked for one choice.
	maxSolicits = 4
	// maxIntroductions bounds the new agents of one list that are asked at once.
	maxIntroductions = 64
)

// solicit asks an agent for reports, unless it was asked just now.
func (m *Model) solicit(now time.Time, x *member) {
	if now.Sub(x.solicited) < solicitPause {
		return
	}
	x.solicited = now
	x.ask(now)
	x.follow(now)
	m.emit(ReportRequestEffect{
		To:      x.Address,
		Service: x.Service,
	})
}

// opens notes that a new flow goes to an agent. The second within a lease makes the
// agent report to this balancer.
func (m *Model) opens(now time.Time, x *member) {
	if now.Sub(x.opened) < holder.ReportLease {
		x.follow(now)
	}
	x.opened = now
}

// refresh asks for the reports that a choice lacked, of members from a place in the
// list on that differs from flow to flow. Members elsewhere are asked only when
// those of this failure domain do not do.
func (m *Model) refresh(now time.Time, l []*member, seed uint64, crowded bool) {
	asked := 0
	for i := range l {
		x := l[(int(seed%uint64(len(l)))+i)%len(l)]
		if asked == maxSolicits {
			return
		}
		near := x.Domain == m.config.Domain
		if now.Sub(x.heard) > staleReport && (near || crowded) && now.Sub(x.solicited) >= solicitPause {
			asked++
			m.solicit(now, x)
		}
	}
}

// tickSentinels renews the leases of the sentinels before they end.
func (m *Model) tickSentinels(now time.Time) {
	if m.changed {
		m.changed = false
		m.chooseSentinels()
	}
	for _, x := range m.sentinels {
		if x.follows.Sub(now) < renewLead {
			m.solicit(now, x)
		}
	}
}

// chooseSentinels picks the agents to follow always: those with the lowest ranks,
// which differ between balancers.
func (m *Model) chooseSentinels() {
	var near, far []*member
	for _, x := range m.order {
		if x.Domain == m.config.Domain {
			near = keepLowest(near, x, sentinelsNear)
		} else {
			far = keepLowest(far, x, sentinelsFar)
		}
	}
	m.sentinels = slices.Concat(near, far)
}

// keepLowest inserts a member by its rank into a list of at most n.
func keepLowest(l []*member, x *member, n int) []*member {
	i, _ := slices.BinarySearchFunc(l, x, func(a, b *member) int { return cmp.Compare(a.rank, b.rank) })
	if i == n {
		return l
	}
	l = slices.Insert(l, i, x)
	return l[:min(len(l), n)]
}

// questionUnlisted asks agents that are not listed whether they are there.
func (m *Model) questionUnlisted(now time.Time) {
	for _, x := range m.order {
		if !x.listed && !now.Before(x.follows) {
			m.solicit(now, x)
		}
	}
}
