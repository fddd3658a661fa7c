package holder

import (
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/outlier"
)

// Availability is whether a target takes new flows.
type Availability uint8

const (
	// AvailabilityDown means that the backend server is unreachable or not ready, or that
	// its incarnation is not in the registry yet.
	AvailabilityDown Availability = iota
	// AvailabilityOpen means that the backend server takes new flows, unless it is full or
	// cold.
	AvailabilityOpen
	// AvailabilityDraining means that the backend server is draining or its agent is
	// stopping.
	AvailabilityDraining
	// AvailabilityEnded means that the agent is stopping after its backend server has
	// deregistered or exited: balancers treat the flows of the backend server as ended.
	AvailabilityEnded
)

var availabilityNames = [...]string{"down", "open", "draining", "ended"}

// String returns the availability as logs have it.
func (a Availability) String() string {
	return availabilityNames[a]
}

// Report is the state and load of a target, which its agent sends to balancers.
type Report struct {
	Availability Availability
	// BackendIncarnation is the present incarnation of the backend server; zero is not
	// known.
	BackendIncarnation uint64
	// Uptime is the age of the agent process.
	Uptime time.Duration
	// Slots is the maximum number of requests that the backend server processes at once.
	Slots uint32
	// Flows is the number of flows in the agent's table, in any state.
	Flows uint32
	// Busy is the mean number of requests in flight over the last second or so.
	Busy float64
	// ColdFor is the remaining time for which the backend server is cold.
	ColdFor time.Duration
	// Latency is the mean time from a request to the response.
	Latency time.Duration
	// FlowBytes is the mean payload that the backend server sends in a flow, in bytes; zero
	// is not known.
	FlowBytes uint32
	// Stopping is set once this agent was asked to stop.
	Stopping bool
	// PlannedRestart is set if the previous process of the agent was asked to stop.
	PlannedRestart bool
	// ConfigVersion is the version of the configuration that the agent knows; zero is none.
	ConfigVersion uint64
	// HasLoad is set if the report has Load and Failures, which are zero otherwise. It is never
	// set unless Config.LoadAware is.
	HasLoad bool
	// Load is the work that the backend server still has to do.
	Load cost.Load
	// Failures is the share of requests that failed.
	Failures outlier.Estimate
}

// WithoutLoad returns the report for balancers that open no flows here: they need neither load
// nor failures.
func (r Report) WithoutLoad() Report {
	r.HasLoad = false
	r.Load = cost.Load{}
	r.Failures = outlier.Estimate{}
	return r
}

// slotUse returns the number of requests in flight divided by the slots.
func (m *Model) slotUse() float64 {
	return float64(m.load.inFlight) / float64(max(m.server.slots, 1))
}

// Report returns the present state of the target, for a report that is sent now.
func (m *Model) Report(now time.Time) Report {
	m.load.advance(now)
	m.reportedFlows = len(m.flows)
	return Report{
		Availability:       m.availability(),
		BackendIncarnation: m.incarnation(),
		Uptime:             now.Sub(m.startedAt),
		Slots:              m.server.slots,
		Flows:              uint32(m.Flows()),
		Busy:               m.load.meanInFlight,
		ColdFor:            max(0, m.server.coldUntil.Sub(now)),
		Latency:            m.load.latency,
		FlowBytes:          uint32(m.load.flowBytes),

		Stopping:       m.stopping,
		PlannedRestart: m.plannedRestart,
		ConfigVersion:  m.declared.Version,

		HasLoad:  m.config.LoadAware,
		Load:     m.serverLoad(now),
		Failures: m.outcomes.monitor.Estimate(),
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

// mayOpen reports whether the backend server may take new flows because balancers
// can list its agent: the present incarnation is in the registry (or could not be
// written there for too long), or no heartbeat shows which incarnation runs and the
// registry has one of an earlier agent process. If no balancer could list the agent, its
// flows might be reset although they are open.
func (s *server) mayOpen() bool {
	if s.announced {
		return s.recordedIncarnation == s.incarnation
	}
	return s.earlierRecordRead && s.earlierRecord != 0
}

// BackendEnded reports whether the backend server has deregistered or exited.
func (m *Model) BackendEnded() bool {
	return m.server.exited || m.server.deregistered
}

const (
	// A report is sent at the next tick when the flows have grown by more than minGrowth
	// and by more than one part in growthDivisor since the last one, so that balancers
	// see a burst of new flows before it ends.
	growthDivisor = 8
	minGrowth     = 6
)

// tickReport sends the subscribers a report every ReportInterval, and earlier when many
// flows have been added since the last report.
func (m *Model) tickReport(now time.Time) {
	grown := len(m.flows) - m.reportedFlows
	burst := grown > minGrowth && grown > m.reportedFlows/growthDivisor
	if burst || now.Sub(m.lastReport) >= ReportInterval {
		m.lastReport = now
		to := m.subscribers.Recipients(now)
		m.sendReports(now, to)
		m.checkConfig(now, len(to) > 0)
		m.flushConfirmations()
	}
}

// reportToAll sends a report of a change, such as one that ends flows or stops
// admission, to all balancers.
func (m *Model) reportToAll(now time.Time) {
	m.subscribers.Broadcast()
	m.lastReport = now
	m.sendReports(now, m.subscribers.Recipients(now))
}

// sendReports sends a report to some balancers. When load-aware, only those get load and
// failures that open flows here: a region has many more balancers that just need to know
// whether this agent runs, and their control traffic is limited.
func (m *Model) sendReports(now time.Time, to []netip.AddrPort) {
	if !m.config.LoadAware {
		m.sendReport(to, false)
		return
	}
	var full, others []netip.AddrPort
	for _, b := range to {
		if m.subscribers.WantsLoad(now, b) {
			full = append(full, b)
		} else {
			others = append(others, b)
		}
	}
	m.sendReport(full, false)
	m.sendReport(others, true)
}

// sendReport sends a report, unless no backend server has been seen yet. The end of an agent is
// reported in any case: balancers may know it from the record of an earlier process, and would
// wait for its replies.
func (m *Model) sendReport(to []netip.AddrPort, withoutLoad bool) {
	if len(to) == 0 || (!m.BackendSeen() && m.availability() != AvailabilityEnded) {
		return
	}
	m.emit(ReportEffect{
		To:          to,
		WithoutLoad: withoutLoad,
	})
}

// handleReportRequest adopts the configuration that a balancer sent along, subscribes
// the balancer and sends it a report.
func (m *Model) handleReportRequest(now time.Time, msg ReportRequestMsg) {
	if msg.Declared.Version != 0 {
		m.handleConfig(now, msg.Declared)
	}
	if m.config.LoadAware {
		m.learnServiceCosts(msg.Costs)
	}
	m.subscribers.Subscribe(now, msg.From, !msg.WithoutLoad || !m.config.LoadAware)
	m.sendReports(now, []netip.AddrPort{msg.From})
}

// handleBalancers adds the listed balancers and broadcasts a report if any is new.
func (m *Model) handleBalancers(now time.Time, msg BalancersMsg) {
	found := false
	for _, b := range msg.Addresses {
		found = m.subscribers.Add(now, b) || found
	}
	m.requestHandover(now)
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
