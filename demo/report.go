package demo

import (
	"fmt"
	"io"
	"strings"
)

// Report is the result of a run.
type Report struct {
	Seconds                  float64  `json:"seconds"`
	Seed                     uint64   `json:"seed"`
	Faults                   bool     `json:"faults"`
	FlowsOpened              int      `json:"flows_opened"`
	LiveFlowsMax             int      `json:"live_flows_max"`
	FlowsRefused             int      `json:"flows_refused"`
	FlowsUnanswered          int      `json:"flows_unanswered"`
	BrokenPlanned            int      `json:"broken_flows_planned"`
	BrokenDomainOut          int      `json:"broken_flows_domain_out"`
	BrokenCrashed            int      `json:"broken_flows_crashed"`
	Misdelivered             int      `json:"misdelivered_packets"`
	ColdOverloads            uint64   `json:"cold_overloads"`
	Overloads                uint64   `json:"overloads"`
	RefusedWithRoom          uint64   `json:"new_flows_refused_with_room"`
	DomainOutLastPacketMS    int64    `json:"packets_into_domain_out_last_ms"`
	ChangesAccepted          int      `json:"changes_accepted"`
	ChangesReverted          uint64   `json:"changes_reverted"`
	InForceP50MS             float64  `json:"in_force_p50_ms"`
	InForceP99MS             float64  `json:"in_force_p99_ms"`
	InForceMaxMS             float64  `json:"in_force_max_ms"`
	ImbalanceMaxOverMean     float64  `json:"imbalance_max_over_mean"`
	ImbalanceWorstWindow     float64  `json:"imbalance_worst_window"`
	ImbalanceDuringChanges   float64  `json:"imbalance_during_changes"`
	LeavingLastNewFlowMS     int64    `json:"new_flows_at_leaving_target_last_ms"`
	ControlBytesPerSecondMax float64  `json:"control_bytes_per_second_max_node"`
	PlatformCallsPerSecond   float64  `json:"platform_calls_per_second"`
	InternalViolations       uint64   `json:"internal_violations"`
	Violations               []string `json:"violations"`
}

const (
	// domainOutLimitMS is how long packets may still be sent into a failure
	// domain after it was taken out of service.
	domainOutLimitMS = 6000
	// leavingLimitMS is how long a drained target may still get new flows.
	leavingLimitMS = 6000
	// inForceLimitMS bounds the time from the acceptance of a change until it
	// is in force.
	inForceLimitMS = 6000
)

// checkInvariants sets Violations to the invariants that the run violated.
func (r *Report) checkInvariants() {
	r.Violations = []string{}
	r.require(r.BrokenPlanned == 0, "an established flow survives every planned change: %d broke", r.BrokenPlanned)
	r.require(r.Misdelivered == 0, "a packet for one service never reaches another: %d did", r.Misdelivered)
	r.require(r.ColdOverloads == 0, "a cold backend server never gets more flows than it can handle: %d times", r.ColdOverloads)
	r.require(r.DomainOutLastPacketMS <= domainOutLimitMS, "a failure domain out of service gets no packets after 6 s: %d ms", r.DomainOutLastPacketMS)
	r.require(r.LeavingLastNewFlowMS <= leavingLimitMS, "a leaving target gets no new flows after 6 s: %d ms", r.LeavingLastNewFlowMS)
	r.require(r.ChangesReverted == 0, "an accepted change is never reverted: %d were", r.ChangesReverted)
	r.require(r.InForceMaxMS <= inForceLimitMS, "an accepted change is in force within 6 s: %.0f ms", r.InForceMaxMS)
	r.require(r.InternalViolations == 0, "instances detect no violation of internal invariants: %d detected", r.InternalViolations)
}

func (r *Report) require(ok bool, format string, value any) {
	if !ok {
		r.Violations = append(r.Violations, fmt.Sprintf(format, value))
	}
}

// ratio formats a ratio; 0 means that it was not measured.
func ratio(x float64) string {
	if x == 0 {
		return "not measured"
	}
	return fmt.Sprintf("%.3f", x)
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	line := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(w, "  %-44s %s\n", name, fmt.Sprintf(format, values...))
	}
	_, _ = fmt.Fprintf(w, "\nrun of %.0f s, seed %d, faults %t\n", r.Seconds, r.Seed, r.Faults)
	line("flows opened / most at a time", "%d / %d", r.FlowsOpened, r.LiveFlowsMax)
	line("flows refused / not answered", "%d / %d", r.FlowsRefused, r.FlowsUnanswered)
	line("flows broken by planned changes", "%d", r.BrokenPlanned)
	line("flows lost with a domain out of service", "%d", r.BrokenDomainOut)
	line("flows lost with a crashed target", "%d", r.BrokenCrashed)
	line("packets that reached a wrong service", "%d", r.Misdelivered)
	line("cold overloads / all overloads", "%d / %d", r.ColdOverloads, r.Overloads)
	line("flows refused although a peer had room", "%d", r.RefusedWithRoom)
	line("last packet into a domain out of service", "%d ms after acceptance", r.DomainOutLastPacketMS)
	line("last new flow at a leaving target", "%d ms after acceptance", r.LeavingLastNewFlowMS)
	line("changes accepted / reverted", "%d / %d", r.ChangesAccepted, r.ChangesReverted)
	line("acceptance to in force, p50 / p99 / max", "%.0f / %.0f / %.0f ms", r.InForceP50MS, r.InForceP99MS, r.InForceMaxMS)
	line("imbalance before changes, mean / worst 10 s", "%s / %s", ratio(r.ImbalanceMaxOverMean), ratio(r.ImbalanceWorstWindow))
	line("imbalance during changes", "%s", ratio(r.ImbalanceDuringChanges))
	line("control bytes a second, busiest node", "%.0f", r.ControlBytesPerSecondMax)
	line("platform calls a second", "%.1f", r.PlatformCallsPerSecond)
	if len(r.Violations) == 0 {
		_, _ = fmt.Fprintln(w, "all invariants held")
		return
	}
	_, _ = fmt.Fprintln(w, "VIOLATED:\n  "+strings.Join(r.Violations, "\n  "))
}
