package holder

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ReportPeriod is the time between two reports to a balancer that follows this
	// agent.
	ReportPeriod = 500 * time.Millisecond
	// ReportLease is the time for which a balancer gets reports after it has asked
	// for them, or has sent new flows.
	ReportLease = 2 * time.Second
	// reportUse is the use of the slots from which on even a balancer that has sent
	// a single new flow gets a report.
	reportUse = 0.6
	// balancerLifetime forgets a balancer that was neither heard nor listed.
	balancerLifetime = 20 * time.Second
	// maxAudience bounds the balancers that are remembered, to some 100 KB.
	maxAudience = 2048
	// newsRepeats is the number of reports to everybody after a change; some
	// datagrams are lost.
	newsRepeats = 3
)

// Subscribers decides which balancers get the next report. Load and time are worth
// telling only to those that choose among targets now; changes that end flows or
// close the gate are told to everybody. So the traffic of an agent follows its new
// flows, and not the number of balancers.
//
// It answers the growth of a region: with reports to all, bytes grow with agents
// times balancers.
type Subscribers struct {
	known map[netip.AddrPort]*listener
	// news is the number of further reports that go to everybody.
	news int
}

// listener is one balancer.
type listener struct {
	heard  time.Time
	opened time.Time
	until  time.Time
}

// NewSubscribers returns an audience of some balancers to start with.
func NewSubscribers(now time.Time, l []netip.AddrPort) *Subscribers {
	a := &Subscribers{
		known: map[netip.AddrPort]*listener{},
	}
	for _, x := range l {
		a.Add(now, x)
	}
	return a
}

// Add notes that a balancer is there, and reports whether it is a new one.
func (a *Subscribers) Add(now time.Time, from netip.AddrPort) bool {
	n := len(a.known)
	a.listener(now, from)
	return len(a.known) > n
}

// Subscribe gives a balancer reports for the time of a lease.
func (a *Subscribers) Subscribe(now time.Time, from netip.AddrPort) {
	if l := a.listener(now, from); l != nil {
		l.until = now.Add(ReportLease)
	}
}

// FlowOpened notes a new flow from a balancer and says whether it gets a report at
// once. The second flow within a lease makes it a follower.
func (a *Subscribers) FlowOpened(now time.Time, from netip.AddrPort, use float64) bool {
	l := a.listener(now, from)
	if l == nil {
		return false
	}
	again := !l.opened.IsZero() && now.Sub(l.opened) < ReportLease
	l.opened = now
	follows := now.Before(l.until)
	if again {
		l.until = now.Add(ReportLease)
	}
	return !follows && (again || use >= reportUse)
}

// Broadcast makes the next reports go to everybody.
func (a *Subscribers) Broadcast() {
	a.news = newsRepeats
}

// Recipients returns the balancers that get a report now, in a fixed order.
func (a *Subscribers) Recipients(now time.Time) []netip.AddrPort {
	all := a.news > 0
	if all {
		a.news--
	}
	var to []netip.AddrPort
	for x, l := range a.known {
		switch {
		case now.Sub(l.heard) > balancerLifetime:
			delete(a.known, x)
		case all || now.Before(l.until):
			to = append(to, x)
		}
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return to
}

// listener returns the entry of a balancer that was heard now; nil when there are
// too many.
func (a *Subscribers) listener(now time.Time, from netip.AddrPort) *listener {
	l := a.known[from]
	if l == nil {
		if len(a.known) >= maxAudience {
			return nil
		}
		l = &listener{}
		a.known[from] = l
	}
	l.heard = now
	return l
}
