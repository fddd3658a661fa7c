package holder

import (
	"net/netip"
	"time"
)

// Availability says whether a target takes new flows.
type Availability uint8

const (
	// AvailabilityDown is a backend server that is not there or not yet heard.
	AvailabilityDown Availability = iota
	// AvailabilityOpen is a backend server that takes new flows.
	AvailabilityOpen
	// AvailabilityDraining is a backend server or an agent that leaves.
	AvailabilityDraining
	// AvailabilityEnded is an agent that stops after its backend server has ended:
	// no flow lives there any more.
	AvailabilityEnded
)

var availabilityNames = [...]string{"down", "open", "draining", "ended"}

// String returns the availability for logs.
func (a Availability) String() string {
	return availabilityNames[a]
}

// Report is what an agent tells balancers about its target.
type Report struct {
	Availability Availability
	// BackendIncarnation names the present life of the backend server; zero is not known.
	BackendIncarnation uint64
	// Uptime is the age of the agent process.
	Uptime  time.Duration
	Slots   uint32
	Flows   uint32
	Busy    float64
	ColdFor time.Duration
	Latency time.Duration
	// Stopping is set once this agent was asked to stop.
	Stopping bool
	// ConfigVersion is the configuration that the agent knows; zero is none.
	ConfigVersion uint64
}

// slotUse returns the part of the slots that is in work.
func (m *Model) slotUse() float64 {
	return float64(m.load.inFlight) / float64(max(m.server.slots, 1))
}

// Report returns the present state of the target.
func (m *Model) Report(now time.Time) Report {
	m.load.advance(now)
	m.reportedFlows = len(m.flows)
	return Report{
		Availability:       m.availability(),
		BackendIncarnation: m.incarnation(),
		Uptime:             now.Sub(m.startedAt),
		Slots:              m.server.slots,
		Flows:              uint32(len(m.flows)),
		Busy:               m.load.meanInFlight,
		ColdFor:            max(0, m.server.coldUntil.Sub(now)),
		Latency:            m.load.latency,

		Stopping:      m.stopping,
		ConfigVersion: m.declared.Version,
	}
}

func (m *Model) availability() Availability {
	switch {
	case m.stopping && m.BackendEnded():
		return AvailabilityEnded
	case m.stopping || m.server.draining:
		return AvailabilityDraining
	case m.server.ready && !m.server.silent && m.server.mayOpen():
		return AvailabilityOpen
	}
	return AvailabilityDown
}

// mayOpen reports whether balancers can know of this agent: the present life is
// recorded, or has only been seen by a probe yet beside an earlier record. A flow
// at an agent that nobody can list might be taken for dead.
func (s *server) mayOpen() bool {
	if s.announced {
		return s.recordedIncarnation == s.incarnation
	}
	return s.earlierRecordRead && s.earlierRecord != 0
}

// BackendEnded reports whether the backend server has said farewell or is gone.
func (m *Model) BackendEnded() bool {
	return m.server.exited || m.server.deregistered
}

const (
	// growthDivisor and growthLeast are the change of open flows that is reported
	// at once, so that balancers see a rush while it goes on.
	growthDivisor = 8
	minGrowth     = 6
)

// tickReport reports now and then, and at once when many flows have come since the
// last report.
func (m *Model) tickReport(now time.Time) {
	grown := len(m.flows) - m.reportedFlows
	rush := grown > minGrowth && grown > m.reportedFlows/growthDivisor
	if rush || now.Sub(m.lastReport) >= ReportPeriod {
		m.lastReport = now
		m.sendReport(m.subscribers.Recipients(now))
	}
}

// reportToAll tells every balancer of a change that may end flows or close the gate.
func (m *Model) reportToAll(now time.Time) {
	m.subscribers.Broadcast()
	m.lastReport = now
	m.sendReport(m.subscribers.Recipients(now))
}

// sendReport sends a report, unless there is no backend server to report about.
func (m *Model) sendReport(to []netip.AddrPort) {
	if len(to) == 0 || !m.BackendSeen() {
		return
	}
	m.emit(ReportEffect{
		To: to,
	})
}

// reportRequested answers a balancer that wants to follow this agent.
func (m *Model) reportRequested(now time.Time, x ReportRequestMsg) {
	if x.Declared.Version != 0 {
		m.configure(now, x.Declared)
	}
	m.subscribers.Subscribe(now, x.From)
	m.sendReport([]netip.AddrPort{x.From})
}

// balancersListed takes a list of balancers; new ones hear of this agent.
func (m *Model) balancersListed(now time.Time, x BalancersMsg) {
	found := false
	for _, b := range x.Addresses {
		found = m.subscribers.Add(now, b) || found
	}
	if found {
		m.reportToAll(now)
	}
}

func (m *Model) incarnation() uint64 {
	if !m.server.announced {
		return 0
	}
	return m.server.incarnation
}
