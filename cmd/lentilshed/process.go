package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/agent"
	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/target"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/phuslu/log"
	"github.com/zeebo/xxh3"
)

const (
	gaugeInterval = time.Second
	// defaultStopTimeout bounds the graceful shutdown of an agent without stop_timeout
	// in its settings.
	defaultStopTimeout = 30 * time.Second
)

// process has what balancers and agents have in common: log, metrics, traces and
// the admin server.
type process struct {
	instance  *settings.Instance
	log       *log.Logger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	traceFile io.Closer
	admin     *telemetry.AdminServer
	done      chan struct{}
}

func newProcess(f *settings.File, role string, errOut io.Writer) (*process, error) {
	i := instanceOf(f)
	tracer, traceFile, err := openTraces(f.Trace, i.Name, errOut)
	if err != nil {
		return nil, err
	}
	return &process{
		instance:  i,
		log:       telemetry.NewLogger(errOut, role+" "+i.Name, f.Log.Level),
		metrics:   telemetry.NewMetrics(role, i.Name),
		tracer:    tracer,
		traceFile: traceFile,
		done:      make(chan struct{}),
	}, nil
}

func instanceOf(f *settings.File) *settings.Instance {
	if f.Balancer != nil {
		return &f.Balancer.Instance
	}
	return &f.Agent.Instance
}

func (p *process) serveAdmin(health func() error) error {
	if p.instance.AdminAddress == "" {
		return nil
	}
	a, err := telemetry.NewAdminServer(p.instance.AdminAddress, p.metrics.Handler, health)
	p.admin = a
	return err
}

func (p *process) close() {
	close(p.done)
	if p.admin != nil {
		p.admin.Close()
	}
	closeTraces(p.tracer, p.traceFile)
	_ = p.metrics.Close()
}

// startGauges starts to call update every gaugeInterval until the process is closed.
func (p *process) startGauges(update func()) {
	go func() {
		t := time.NewTicker(gaugeInterval)
		defer t.Stop()
		for {
			select {
			case <-p.done:
				return
			case <-t.C:
				update()
			}
		}
	}()
}

// newIncarnation returns an incarnation that is greater than those of earlier starts,
// provided that the clock was not set back.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixMicro())
}

func (p *process) startBalancer(s *settings.Balancer) (*instance, error) {
	incarnation := newIncarnation()
	scope := p.metrics.Scope
	r, err := balancer.NewRuntime(balancer.RuntimeConfig{
		Config: balancer.Config{
			Name:           s.Name,
			Region:         s.Region,
			Domain:         s.Domain,
			Incarnation:    incarnation,
			PacketAddress:  s.PacketAddress,
			ControlAddress: s.ControlAddress,
			Seeds:          s.Balancers,
			Lease: lease.Config{
				Holder:         fmt.Sprintf("%s/%d", s.Name, incarnation),
				Address:        s.ControlAddress,
				TTL:            balancer.LeaseTTL,
				RenewInterval:  balancer.LeaseRenewInterval,
				SilenceTimeout: balancer.LeaseSilenceTimeout,
			},
		},
		Platform: store.New(store.Config{
			BaseURL: s.Platform,
			Seed:    xxh3.HashString(s.Name) + incarnation,
			Count: func(method, outcome string) {
				scope.Tagged(map[string]string{"method": method, "outcome": outcome}).Counter("platform_calls").Inc(1)
			},
		}),
		Log:    p.log,
		Scope:  p.metrics.Scope,
		Tracer: p.tracer,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start balancer")
	}
	p.startGauges(func() { p.updateBalancerGauges(r) })
	return &instance{
		health: r.Health,
		stop:   r.Close,
	}, nil
}

func (p *process) updateBalancerGauges(r *balancer.Runtime) {
	s := r.State()
	g := p.metrics.Scope
	g.Gauge("agents").Update(float64(s.Agents))
	g.Gauge("registrar").Update(boolToFloat(s.IsRegistrar))
	g.Gauge("isolated").Update(boolToFloat(s.Isolated))
	sent, received := r.ControlBytes()
	p.updateCommonGauges(commonMetrics{
		revision:   s.IntentRevision,
		version:    s.RosterVersion,
		violations: s.Stats.Violations,
		sent:       sent,
		received:   received,
	})
}

// commonMetrics has the metrics that balancers and agents both report.
type commonMetrics struct {
	revision   uint64
	version    uint64
	violations uint64
	sent       uint64
	received   uint64
}

func (p *process) updateCommonGauges(c commonMetrics) {
	g := p.metrics.Scope
	g.Gauge("intent_revision").Update(float64(c.revision))
	g.Gauge("roster_version").Update(float64(c.version))
	g.Gauge("violations").Update(float64(c.violations))
	g.Gauge("control_bytes_sent").Update(float64(c.sent))
	g.Gauge("control_bytes_received").Update(float64(c.received))
}

func (p *process) startAgent(s *settings.Agent) (*instance, error) {
	fabric, err := netip.ParseAddrPort(s.FabricAddress)
	if err != nil {
		return nil, errors.Wrap(err, "agent.fabric_address")
	}
	incarnation := newIncarnation()
	r, err := agent.NewRuntime(agent.RuntimeConfig{
		Config: agent.Config{
			Self:        target.ID(s.Name),
			Incarnation: target.Incarnation(incarnation),
			Service:     s.Service,
			Domain:      s.Domain,
			Gate: target.GateConfig{
				Limit: uint32(s.FlowLimit),
			},
			Seed: xxh3.HashString(s.Name),
		},
		Region:         s.Region,
		PacketAddress:  s.PacketAddress,
		ControlAddress: s.ControlAddress,
		Balancers:      s.Balancers,
		FabricAddress:  fabric,
		BackendAddress: s.BackendServer,
		LoadURL:        s.LoadURL,
		Log:            p.log,
		Scope:          p.metrics.Scope,
		Tracer:         p.tracer,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start agent")
	}
	p.startGauges(func() { p.updateAgentGauges(r) })
	return &instance{
		health: r.Health,
		stop:   func() { p.stopAgent(r, time.Duration(s.StopTimeout)) },
	}, nil
}

// stopAgent waits for open flows to end until the timeout, or defaultStopTimeout if it
// is zero, and logs how many it cuts.
func (p *process) stopAgent(r *agent.Runtime, timeout time.Duration) {
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.log.Info().Int("flows", int(r.State().Active)).Dur("stop_timeout", timeout).Msg("agent is leaving; waiting for flows to end")
	if n := r.Leave(ctx); n > 0 {
		p.log.Warn().Int("flows", n).Msg("stop timeout passed, cutting flows")
	}
	r.Close()
}

func (p *process) updateAgentGauges(r *agent.Runtime) {
	s := r.State()
	g := p.metrics.Scope
	g.Gauge("flows").Update(float64(s.Active))
	g.Gauge("flow_limit").Update(float64(s.Limit))
	g.Gauge("capacity_learned").Update(float64(s.Capacity))
	g.Gauge("flows_at_peers").Update(float64(s.FlowsAtPeers))
	g.Gauge("cold").Update(boolToFloat(s.Cold))
	g.Gauge("joined").Update(boolToFloat(s.Joined))
	g.Gauge("cold_restarts_seen").Update(float64(s.Restarts))
	g.Gauge("flows_admitted").Update(float64(s.Stats.Admitted))
	g.Gauge("flows_refused").Update(float64(s.Stats.Refused))
	g.Gauge("flows_reset_unknown").Update(float64(s.Stats.ResetUnknown))
	sent, received := r.ControlBytes()
	p.updateCommonGauges(commonMetrics{
		revision:   s.IntentRevision,
		version:    s.RosterVersion,
		violations: s.Stats.Violations,
		sent:       sent,
		received:   received,
	})
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
