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
	// immediateReportUse is the use of the slots from which on even a balancer that has sent
	// a single new flow gets a report.
	immediateReportUse = 0.6
	// balancerTimeout forgets a balancer that was neither heard nor listed.
	balancerTimeout = 20 * time.Second
	// maxBalancers bounds the balancers that are remembered, to some 100 KB.
	maxBalancers = 2048
	// broadcastRepeats is the number of reports to everybody after a change; some
	// datagrams are lost.
	broadcastRepeats = 3
)

// Subscribers decides which balancers get the next report. Load and time are worth
// telling only to those that choose among targets now; changes that end flows or
// close the gate are told to everybody. So the traffic of an agent follows its new
// flows, and not the number of balancers.
//
// It answers the growth of a region: with reports to all, bytes grow with agents
// times balancers.
type Subscribers struct {
	balancers map[netip.AddrPort]*subscriber
	// broadcasts is the number of further reports that go to everybody.
	broadcasts int
}

// subscriber is one balancer.
type subscriber struct {
	lastReceived    time.Time
	lastOpened      time.Time
	subscribedUntil time.Time
}

// NewSubscribers returns an audience of some balancers to start with.
func NewSubscribers(now time.Time, l []netip.AddrPort) *Subscribers {
	a := &Subscribers{
		balancers: map[netip.AddrPort]*subscriber{},
	}
	for _, x := range l {
		a.Add(now, x)
	}
	return a
}

// Add notes that a balancer is there, and reports whether it is a new one.
func (a *Subscribers) Add(now time.Time, from netip.AddrPort) bool {
	n := len(a.balancers)
	a.subscriber(now, from)
	return len(a.balancers) > n
}

// Subscribe gives a balancer reports for the time of a lease.
func (a *Subscribers) Subscribe(now time.Time, from netip.AddrPort) {
	if l := a.subscriber(now, from); l != nil {
		l.subscribedUntil = now.Add(ReportLease)
	}
}

// FlowOpened notes a new flow from a balancer and says whether it gets a report at
// once. The second flow within a lease makes it a follower.
func (a *Subscribers) FlowOpened(now time.Time, from netip.AddrPort, use float64) bool {
	l := a.subscriber(now, from)
	if l == nil {
		return false
	}
	again := !l.lastOpened.IsZero() && now.Sub(l.lastOpened) < ReportLease
	l.lastOpened = now
	follows := now.Before(l.subscribedUntil)
	if again {
		l.subscribedUntil = now.Add(ReportLease)
	}
	return !follows && (again || use >= immediateReportUse)
}

// Broadcast makes the next reports go to everybody.
func (a *Subscribers) Broadcast() {
	a.broadcasts = broadcastRepeats
}

// Recipients returns the balancers that get a report now, in a fixed order.
func (a *Subscribers) Recipients(now time.Time) []netip.AddrPort {
	all := a.broadcasts > 0
	if all {
		a.broadcasts--
	}
	var to []netip.AddrPort
	for x, l := range a.balancers {
		switch {
		case now.Sub(l.lastReceived) > balancerTimeout:
			delete(a.balancers, x)
		case all || now.Before(l.subscribedUntil):
			to = append(to, x)
		}
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return to
}

// subscriber returns the entry of a balancer that was heard now; nil when there are
// too many.
func (a *Subscribers) subscriber(now time.Time, from netip.AddrPort) *subscriber {
	l := a.balancers[from]
	if l == nil {
		if len(a.balancers) >= maxBalancers {
			return nil
		}
		l = &subscriber{}
		a.balancers[from] = l
	}
	l.lastReceived = now
	return l
}
