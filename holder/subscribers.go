package holder

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ReportInterval is the time between two reports to a balancer that has subscribed
	// to this agent.
	ReportInterval = 500 * time.Millisecond
	// ReportLease is the time for which a balancer gets reports after it has requested
	// them, or has sent the first packets of two flows within that time; a retransmission
	// counts as another flow.
	ReportLease = 2 * time.Second
	// immediateReportUse is the share of slots in use from which on a balancer gets a
	// report for a single new flow.
	immediateReportUse = 0.6
	// balancerTimeout is the time after which a balancer is removed that was neither
	// listed nor sent anything.
	balancerTimeout = 20 * time.Second
	// maxBalancers bounds the table of balancers to some 100 KB.
	maxBalancers = 2048
	// broadcastRepeats is the number of reports to all balancers after a change;
	// some datagrams are lost.
	broadcastRepeats = 3
)

// Subscribers decides which balancers get the next report. Load and times matter
// only to balancers that are choosing among targets now; a change of the availability,
// which may end flows or stop admission, is broadcast to all. The report traffic of an
// agent therefore grows with its new flows and not with the number of balancers. With
// reports to all, the traffic of a region would grow with agents times balancers.
type Subscribers struct {
	balancers map[netip.AddrPort]*subscriber
	// broadcasts is the number of further reports that go to all balancers.
	broadcasts int
}

// subscriber is one balancer, whether it has subscribed now or not.
type subscriber struct {
	// lastReceived is when the balancer last sent a datagram or was listed.
	lastReceived time.Time
	// lastOpened is when it last sent the first packet of a flow.
	lastOpened time.Time
	// subscribedUntil is until when it gets reports, and loadUntil until when these have
	// load and failures. Without Config.LoadAware, both are equal.
	subscribedUntil time.Time
	loadUntil       time.Time
}

// NewSubscribers returns a table of balancers that have not subscribed yet.
func NewSubscribers(now time.Time, balancers []netip.AddrPort) *Subscribers {
	s := &Subscribers{
		balancers: map[netip.AddrPort]*subscriber{},
	}
	for _, b := range balancers {
		s.Add(now, b)
	}
	return s
}

// Add records that a balancer sent a datagram or was listed, and reports whether it was
// added. It is not if it was in the table already or the table is full.
func (s *Subscribers) Add(now time.Time, from netip.AddrPort) bool {
	n := len(s.balancers)
	s.subscriber(now, from)
	return len(s.balancers) > n
}

// Subscribe gives a balancer reports for the time of ReportLease. withLoad is whether it wants
// load and failures; a subscription without them does not shorten one that has them.
func (s *Subscribers) Subscribe(now time.Time, from netip.AddrPort, withLoad bool) {
	if b := s.subscriber(now, from); b != nil {
		b.subscribe(now, withLoad)
	}
}

// WantsLoad reports whether a balancer has subscribed to reports with load and failures.
func (s *Subscribers) WantsLoad(now time.Time, balancer netip.AddrPort) bool {
	b := s.balancers[balancer]
	return b != nil && now.Before(b.loadUntil)
}

// FlowOpened records that a balancer sent the first packet of a flow, and reports
// whether the balancer gets a report at once, with load. A second such packet within
// ReportLease subscribes the balancer to such reports. use is the number of requests in flight
// divided by the slots.
func (s *Subscribers) FlowOpened(now time.Time, from netip.AddrPort, use float64) bool {
	b := s.subscriber(now, from)
	if b == nil {
		return false
	}
	again := !b.lastOpened.IsZero() && now.Sub(b.lastOpened) < ReportLease
	b.lastOpened = now
	subscribed := now.Before(b.loadUntil)
	if again {
		b.subscribe(now, true)
	}
	return !subscribed && (again || use >= immediateReportUse)
}

// Broadcast makes the next broadcastRepeats reports go to all balancers.
func (s *Subscribers) Broadcast() {
	s.broadcasts = broadcastRepeats
}

// Known returns the balancers that have not timed out, in order of address.
func (s *Subscribers) Known(now time.Time) []netip.AddrPort {
	var l []netip.AddrPort
	for address, b := range s.balancers {
		if now.Sub(b.lastReceived) <= balancerTimeout {
			l = append(l, address)
		}
	}
	slices.SortFunc(l, netip.AddrPort.Compare)
	return l
}

// Recipients returns the balancers that get a report now, in order of address. Each call
// counts as one report of a broadcast, and removes balancers that have timed out.
func (s *Subscribers) Recipients(now time.Time) []netip.AddrPort {
	all := s.broadcasts > 0
	if all {
		s.broadcasts--
	}
	var to []netip.AddrPort
	for address, b := range s.balancers {
		switch {
		case now.Sub(b.lastReceived) > balancerTimeout:
			delete(s.balancers, address)
		case all || now.Before(b.subscribedUntil):
			to = append(to, address)
		}
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return to
}

// subscriber returns the entry of a balancer that has sent something now or is
// listed. It adds the entry if there is none, and returns nil when the table is full.
func (s *Subscribers) subscriber(now time.Time, from netip.AddrPort) *subscriber {
	b := s.balancers[from]
	if b == nil {
		if len(s.balancers) >= maxBalancers {
			return nil
		}
		b = &subscriber{}
		s.balancers[from] = b
	}
	b.lastReceived = now
	return b
}

func (b *subscriber) subscribe(now time.Time, withLoad bool) {
	b.subscribedUntil = now.Add(ReportLease)
	if withLoad {
		b.loadUntil = b.subscribedUntil
	}
}
