package holder

import "time"

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
	// Life names the present life of the backend server; zero is not known.
	Life uint64
	// Uptime is the age of the agent process.
	Uptime  time.Duration
	Slots   uint32
	Flows   uint32
	Busy    float64
	Cold    time.Duration
	Latency time.Duration
}

// Report returns the present state of the target.
func (m *Model) Report(now time.Time) Report {
	m.load.advance(now)
	m.reported = len(m.flows)
	return Report{
		Availability: m.availability(),
		Life:         m.life(),
		Uptime:       now.Sub(m.started),
		Slots:        m.server.slots,
		Flows:        uint32(len(m.flows)),
		Busy:         m.load.busy,
		Cold:         max(0, m.server.coldUntil.Sub(now)),
		Latency:      m.load.latency,
	}
}

func (m *Model) availability() Availability {
	switch {
	case m.stopping && m.Ended():
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

// Ended reports whether the backend server has said farewell or is gone.
func (m *Model) Ended() bool {
	return m.server.gone || m.server.left
}

const (
	// growthPart and growthLeast are the change of open flows that is reported
	// at once, so that balancers see a rush while it goes on.
	growthPart  = 8
	growthLeast = 6
)

// reportGrowth reports when many flows have come since the last report.
func (m *Model) reportGrowth() {
	if grown := len(m.flows) - m.reported; grown > growthLeast && grown > m.reported/growthPart {
		m.emit(ReportEffect{})
	}
}

func (m *Model) life() uint64 {
	if !m.server.known {
		return 0
	}
	return m.server.born
}
