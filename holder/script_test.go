package holder_test

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
)

const scriptService = "boards"

var scriptBalancer = netip.MustParseAddrPort("10.1.0.10:7720")

// script runs the commands of a data file against one model.
type script struct {
	model *holder.Model
	now   time.Time
	slots uint32
	// maxEntries is the size of the table of a load-aware model; zero is the default.
	maxEntries int
	// loadAware is set once the model is load-aware; the effects then name their packets.
	loadAware bool
	// exchange has the flow on which exchange sends requests.
	exchange exchange
	class    routing.Class
}

func newScript(loadAware bool) *script {
	now := time.Unix(1_800_000_000, 0)
	return &script{
		model: holder.NewModel(holder.Config{
			Service:   scriptService,
			Balancers: []netip.AddrPort{scriptBalancer},
			LoadAware: loadAware,
		}, now),
		now:   now,
		slots: 3,
	}
}

// TestScripts runs the data files: each command is a message, and its output is the
// effects. Only wait, burst, requests and exchange stand for many messages, and pass for none. The
// model is load-aware in the files of the folder outcome, and after the command load_aware.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.HasPrefix(path, filepath.Join("testdata", "rapid")) {
			// The property tests keep the inputs of failed runs there.
			return
		}
		s := newScript(strings.Contains(path, "outcome"))
		datadriven.RunTest(t, path, func(t *testing.T, x *datadriven.TestData) string {
			return s.run(t, x)
		})
	})
}

func (s *script) run(t *testing.T, x *datadriven.TestData) string {
	switch x.Cmd {
	case "wait":
		d, err := time.ParseDuration(x.CmdArgs[0].Key)
		require.NoError(t, err)
		return s.wait(d)
	case "pass":
		d, err := time.ParseDuration(x.CmdArgs[0].Key)
		require.NoError(t, err)
		s.now = s.now.Add(d)
		return ""
	case "load_aware":
		s.startLoadAware(queue.Limits{
			Packets: number(t, x, "packets"),
			Bytes:   number(t, x, "bytes"),
		}, number(t, x, "slots"), number(t, x, "flows"), number(t, x, "ahead"))
		return ""
	case "requests":
		return s.requests(t, x)
	case "queue":
		return s.queue()
	case "exchange":
		return s.exchangeAll(t, x)
	case "new_load_aware":
		*s = *newScript(true)
		return ""
	case "class":
		s.class = scriptClass(t, x)
		return ""
	case "load":
		s.setLoad(t, x)
		return ""
	case "burst":
		return s.burst(number(t, x, "from"), number(t, x, "flows"))
	}
	out := s.update(s.message(t, x))
	if x.HasArg("sorted") {
		// Flows are reset in the order of a map.
		l := strings.SplitAfter(out, "\n")
		slices.Sort(l)
		return strings.Join(l, "")
	}
	return out
}

// setLoad sets the load of the backend server, with work waiting at one priority.
func (s *script) setLoad(t *testing.T, x *datadriven.TestData) {
	l := cost.Load{
		Running: uint32(number(t, x, "running")),
		Rest:    time.Duration(number(t, x, "rest_ms")) * time.Millisecond,
		Queued: []cost.PriorityWork{
			{
				Priority: routing.Priority(number(t, x, "queued_priority")),
				Work:     time.Duration(number(t, x, "queued_ms")) * time.Millisecond,
				Requests: uint32(number(t, x, "queued")),
			},
		},
		Routes: []cost.RouteCost{
			{
				Route: routing.AddressOf(scriptFlow(0)),
				Mean:  time.Duration(number(t, x, "mean_ms")) * time.Millisecond,
			},
		},
	}
	s.model.SetServerLoad(func(time.Time) cost.Load { return l })
}

// wait sends ticks for the time d and prints their effects.
func (s *script) wait(d time.Duration) string {
	var b strings.Builder
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		b.WriteString(s.update(holder.TickMsg{}))
	}
	return b.String()
}

// burst sends n new flows at once and counts the admitted and the refused ones. A flow that
// is deferred as busy is sent again, as by a balancer that finds no better target.
func (s *script) burst(from, n int) string {
	taken := 0
	reasons := map[holder.RejectReason]int{}
	for i := range n {
		reason := s.open(from + i)
		if reason == holder.RejectBusy {
			reason = s.open(from + i)
		}
		if reason == 0 {
			taken++
		} else {
			reasons[reason]++
		}
	}
	return fmt.Sprintf("taken %d refused %v\n", taken, reasons)
}

// open sends the first packet of a flow and returns why it was refused, or zero.
func (s *script) open(n int) holder.RejectReason {
	for _, e := range s.model.Update(s.now, holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Class:   s.class,
		Segment: segment.Segment{
			Tuple: scriptFlow(n),
			Flags: segment.Syn,
		},
	}) {
		if x, ok := e.(holder.RejectEffect); ok {
			return x.Reason
		}
	}
	return 0
}

func scriptFlow(n int) flow.Tuple {
	return flow.Tuple{
		Caller:      0x64400001,
		Address:     0xc6120001,
		CallerPort:  uint16(n),
		AddressPort: 443,
	}
}

func (s *script) message(t *testing.T, x *datadriven.TestData) holder.Msg {
	switch x.Cmd {
	case "heartbeat":
		return holder.HeartbeatMsg{
			ID:          "i-1",
			Incarnation: uint64(number(t, x, "incarnation")),
			Sequence:    uint64(number(t, x, "seq")),
			Draining:    x.HasArg("draining"),
			Slots:       s.slots,
			ColdFor:     time.Duration(number(t, x, "cold_ms")) * time.Millisecond,
		}
	case "deregister":
		return holder.DeregisterMsg{
			ID:          target.ID("i-1"),
			Incarnation: uint64(number(t, x, "incarnation")),
		}
	case "earlier_record":
		return holder.EarlierRecordMsg{
			Incarnation: uint64(number(t, x, "incarnation")),
		}
	case "recorded":
		return holder.RecordedMsg{
			Incarnation: uint64(number(t, x, "incarnation")),
			Failed:      x.HasArg("failed"),
		}
	case "config":
		return scriptConfig(t, x)
	case "report_request":
		return holder.ReportRequestMsg{
			From:     scriptBalancer,
			Declared: scriptConfig(t, x),
			Costs: []cost.RouteCost{
				{
					Route:         routing.AddressOf(scriptFlow(0)),
					Mean:          time.Duration(number(t, x, "mean_ms")) * time.Millisecond,
					ResponseBytes: uint32(number(t, x, "bytes")),
				},
			},
		}
	case "probe":
		return holder.ProbeMsg{
			Result: probeResults[x.CmdArgs[0].Key],
		}
	case "resumed":
		return holder.ResumedMsg{}
	case "stop":
		return holder.StopMsg{}
	case "exit":
		return holder.ExitMsg{}
	case "query":
		return holder.QueryMsg{
			From: scriptBalancer,
			Flows: []holder.QueriedFlow{
				{
					Tuple: scriptFlow(number(t, x, "flow")),
					Ack:   uint32(number(t, x, "upto")),
				},
			},
		}
	case "hints":
		return holder.HintsMsg{
			Flows: []holder.QueriedFlow{
				{
					Tuple:  scriptFlow(number(t, x, "flow")),
					Ack:    uint32(number(t, x, "upto")),
					Offers: uint8(number(t, x, "offers")),
					Unheld: x.HasArg("unheld"),
				},
			},
			BackendIncarnation: uint64(number(t, x, "incarnation")),
		}
	case "server":
		return holder.OutboundMsg{
			Segment: scriptSegment(t, x),
		}
	}
	m := holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Class:   s.class,
		Segment: scriptSegment(t, x),
	}
	if x.HasArg("priority") || x.HasArg("objective_ms") || x.HasArg("timeout_ms") {
		m.Class = scriptClass(t, x)
	}
	if s.loadAware && (m.Segment.Length > 0 || m.Segment.Has(segment.Fin)) {
		m.Data = packetData(m.Segment)
	}
	if x.HasArg("other_service") {
		m.Service = "layouts"
	}
	return m
}

func scriptClass(t *testing.T, x *datadriven.TestData) routing.Class {
	return routing.Class{
		Priority:  routing.Priority(number(t, x, "priority")),
		Objective: time.Duration(number(t, x, "objective_ms")) * time.Millisecond,
		Timeout:   time.Duration(number(t, x, "timeout_ms")) * time.Millisecond,
	}
}

func scriptConfig(t *testing.T, x *datadriven.TestData) holder.ConfigMsg {
	idleTimeout := 15 * time.Second
	if x.HasArg("idle_s") {
		idleTimeout = time.Duration(number(t, x, "idle_s")) * time.Second
	}
	return holder.ConfigMsg{
		Version:     uint64(number(t, x, "version")),
		ColdRate:    float64(number(t, x, "cold_rate")),
		MaxFlows:    number(t, x, "max"),
		WarmUp:      time.Duration(number(t, x, "warm_up_ms")) * time.Millisecond,
		IdleTimeout: idleTimeout,
	}
}

var probeResults = map[string]holder.ProbeResult{
	"ready":   holder.ProbeReady,
	"alive":   holder.ProbeAlive,
	"refused": holder.ProbeRefused,
	"silent":  holder.ProbeSilent,
}

func scriptSegment(t *testing.T, x *datadriven.TestData) segment.Segment {
	s := segment.Segment{
		Tuple:    scriptFlow(number(t, x, "flow")),
		Sequence: uint32(number(t, x, "seq")),
		Ack:      uint32(number(t, x, "upto")),
		Copies:   uint8(number(t, x, "copies")),
		Length:   uint16(number(t, x, "len")),
	}
	for name, f := range map[string]segment.Flags{
		"syn":      segment.Syn,
		"ack":      segment.Ack,
		"fin":      segment.Fin,
		"rst":      segment.Rst,
		"returned": segment.Undeliverable,
	} {
		if x.HasArg(name) {
			s.Flags |= f
		}
	}
	return s
}

func number(t *testing.T, x *datadriven.TestData, key string) int {
	n := 0
	if x.HasArg(key) {
		x.MaybeScanArgs(t, key, &n)
	}
	return n
}

func (s *script) update(m holder.Msg) string {
	var b strings.Builder
	for _, e := range s.model.Update(s.now, m) {
		fmt.Fprintln(&b, describe(e))
		if _, ok := e.(holder.ReportEffect); ok {
			s.model.Report(s.now)
		}
	}
	return b.String()
}

func describe(e holder.Effect) string {
	switch x := e.(type) {
	case holder.ToBackendEffect:
		return strings.TrimSpace("to backend server " + string(x.Data))
	case holder.ToCallerEffect:
		return fmt.Sprintf("to caller %d", x.Segment.Tuple.CallerPort)
	case holder.ResetEffect:
		return fmt.Sprintf("reset %d at %d: %s", x.Tuple.CallerPort, x.Sequence, x.Cause)
	case holder.RejectEffect:
		return "reject: " + x.Reason.String()
	case holder.ReplyEffect:
		s := fmt.Sprintf("reply: held %d unheld %d unsure %d", len(x.Held), len(x.Unheld), len(x.Unsure))
		if x.BackendIncarnation != 0 {
			s += fmt.Sprintf(" incarnation %d", x.BackendIncarnation)
		}
		for _, n := range x.Offers {
			s += fmt.Sprintf(" offers %d", n)
		}
		return s
	case holder.ReportEffect:
		return "report"
	case holder.ConfigCheckEffect:
		return fmt.Sprintf("check configuration %d", x.Version)
	case holder.HandoverEffect:
		return fmt.Sprintf("hand over %d flows of incarnation %d to %d balancers", len(x.Flows), x.BackendIncarnation, len(x.To))
	case holder.HandoverRequestEffect:
		return fmt.Sprintf("request handover from %d balancers", len(x.To))
	case holder.RecordEffect:
		return fmt.Sprintf("record %d", x.Incarnation)
	case holder.ProbeEffect:
		return fmt.Sprintf("probe, health %v", x.Health)
	case holder.LogEffect:
		return "log: " + x.Event
	}
	return fmt.Sprintf("%T", e)
}
