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

// use returns the part of the slots that is in work.
func (m *Model) use() float64 {
	return float64(m.load.working) / float64(max(m.server.slots, 1))
}

// Report returns the present state of the target.
func (m *Model) Report(now time.Time) Report {
	m.load.advance(now)
	m.reported = len(m.flows)
	return Report{
		Availability:       m.availability(),
		BackendIncarnation: m.life(),
		Uptime:             now.Sub(m.started),
		Slots:              m.server.slots,
		Flows:              uint32(len(m.flows)),
		Busy:               m.load.busy,
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
	if s.known {
		return s.recorded == s.born
	}
	return s.earlierKnown && s.earlier != 0
}

// BackendEnded reports whether the backend server has said farewell or is gone.
func (m *Model) BackendEnded() bool {
	return m.server.gone || m.server.left
}

const (
	// growthPart and growthLeast are the change of open flows that is reported
	// at once, so that balancers see a rush while it goes on.
	growthPart  = 8
	growthLeast = 6
)

// tickReport reports now and then, and at once when many flows have come since the
// last report.
func (m *Model) tickReport(now time.Time) {
	grown := len(m.flows) - m.reported
	rush := grown > growthLeast && grown > m.reported/growthPart
	if rush || now.Sub(m.reportAt) >= ReportPeriod {
		m.reportAt = now
		m.tell(m.audience.Recipients(now))
	}
}

// tellAll tells every balancer of a change that may end flows or close the gate.
func (m *Model) tellAll(now time.Time) {
	m.audience.Broadcast()
	m.reportAt = now
	m.tell(m.audience.Recipients(now))
}

// tell sends a report, unless there is no backend server to report about.
func (m *Model) tell(to []netip.AddrPort) {
	if len(to) == 0 || !m.BackendSeen() {
		return
	}
	m.emit(ReportEffect{
		To: to,
	})
}

// solicited answers a balancer that wants to follow this agent.
func (m *Model) solicited(now time.Time, x ReportRequestMsg) {
	if x.Declared.Version != 0 {
		m.configure(now, x.Declared)
	}
	m.audience.Subscribe(now, x.From)
	m.tell([]netip.AddrPort{x.From})
}

// balancers takes a list of balancers; new ones hear of this agent.
func (m *Model) balancers(now time.Time, x BalancersMsg) {
	found := false
	for _, b := range x.Addresses {
		found = m.audience.Add(now, b) || found
	}
	if found {
		m.tellAll(now)
	}
}

func (m *Model) life() uint64 {
	if !m.server.known {
		return 0
	}
	return m.server.born
}
