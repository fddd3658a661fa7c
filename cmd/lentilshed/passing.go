package main

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/host"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/platform"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
)

const (
	// callHeaderTimeout bounds the head of a call to this process.
	callHeaderTimeout = 2 * time.Second
	// settingsPeriod is the time between two looks at the settings file, which may
	// change without a signal.
	settingsPeriod = 5 * time.Second
	// logRate and logBurst bound the lines of a process; a line costs as much as
	// a packet.
	logRate  = 40
	logBurst = 200
	// logFlushTimeout bounds the wait for the last lines, well within the time that
	// a stop leaves to the end of the process.
	logFlushTimeout = 300 * time.Millisecond
	// traceSalt keeps the sample of flows apart from other uses of their hash.
	traceSalt = 0x7ace
)

// passing is a running balancer or agent of flows that backend servers end
// themselves.
type passing struct {
	settings *settings.Passthrough
	log      *log.Logger
	lines    *telemetry.AsyncWriter
	bounded  telemetry.RateLimiter
	tracer   *telemetry.Tracer
	servers  []*http.Server
	registry host.Registry
	metrics  *telemetry.Metrics
	admin    *telemetry.AdminServer
	// gauges updates the metrics, and stop ends the process.
	gauges func(tally.Scope)
	stop   func()
}

func newPassingCommand(out io.Writer) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve [--config FILE]",
		Short: "Run the balancer or agent that the settings describe, on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = platform.SettingsPath()
			}
			return servePassing(path, out)
		},
	}
	c.Flags().StringVar(&path, "config", "", "TOML settings file; the platform's by default")
	return c
}

// servePassing runs one process until it is told to stop.
func servePassing(path string, out io.Writer) error {
	f, err := readPassing(path)
	if err != nil {
		return err
	}
	q := telemetry.NewAsyncWriter(out)
	defer q.Close(logFlushTimeout)
	t, file, err := openTraces(f.Trace, f.Passthrough.Name, q)
	if err != nil {
		return err
	}
	defer closeTraces(t, file)
	p := &passing{
		settings: f.Passthrough,
		log:      telemetry.NewLogger(q, f.Passthrough.Role+" "+f.Passthrough.Name, f.Log.Level),
		lines:    q,
		tracer:   t,
		bounded: telemetry.RateLimiter{
			PerSecond: logRate,
			Burst:     logBurst,
		},
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	if err := p.start(); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	p.log.Info().Str("failure_domain", p.settings.Domain).Str("service", p.settings.Service).Msg("started")
	p.waitForStop(path, signals)
	p.log.Info().Msg("stopping")
	p.stop()
	p.log.Info().Msg("stopped")
	return nil
}

func readPassing(path string) (*settings.File, error) {
	f, err := settings.Read(path)
	if err != nil {
		return nil, err
	}
	if f.Passthrough == nil {
		return nil, failure.Mark(errors.Newf("%s: passing: section is missing", path), settings.ErrInvalid)
	}
	return f, nil
}

func (p *passing) start() error {
	t := &store.Transport{
		HTTP: store.NewHTTPClient(),
	}
	p.registry = platform.NewRegistry(p.settings.Platform, t, func(event, name string) {
		p.note(host.LogEvent{
			Event:  event,
			Member: name,
		})
	})
	if p.settings.Role == settings.RoleAgent {
		return p.startAgent()
	}
	return p.startBalancer()
}

var packetForm = host.PacketCodec{
	DecodeFromCaller:  platform.DecodeFromCaller,
	DecodeFromBackend: platform.DecodeFromTarget,
	Restore:           platform.Restore,
	AppendReset:       platform.AppendReset,
}

func (p *passing) startBalancer() error {
	s := p.settings
	c := placement.DefaultConfig()
	if s.RemoteUse > 0 {
		c.RemoteUse = s.RemoteUse
	}
	b, err := host.NewBalancer(host.BalancerConfig{
		Name:          s.Name,
		Domain:        s.Domain,
		PacketAddress: netip.MustParseAddrPort(s.PacketAddress),
		PeerAddress:   netip.MustParseAddrPort(s.PeerAddress),
		SeedPeers:     seedPeers(s),
		StopTimeout:   time.Duration(s.StopTimeout),
		Placement:     c,
		Codec:         packetForm,
		Registry:      p.registry,
		Log:           p.note,
		Hop:           p.hop(),
	})
	if err != nil {
		return errors.Wrap(err, "start balancer")
	}
	p.stop = b.Stop
	p.gauges = func(c tally.Scope) { balancerMetrics(c, b.Stats()) }
	return p.listen(platform.NewBalancerHandler(b), s.ReadyAddress, s.CallsAddress)
}

// seedPeers returns the peer addresses of instances where balancers may run:
// the port is the same on all of them.
func seedPeers(s *settings.Passthrough) []netip.AddrPort {
	var l []netip.AddrPort
	port := netip.MustParseAddrPort(s.PeerAddress).Port()
	for _, x := range s.Seeds {
		l = append(l, netip.AddrPortFrom(netip.MustParseAddrPort(x).Addr(), port))
	}
	return l
}

func (p *passing) startAgent() error {
	s := p.settings
	backend := host.Backend{
		Service: s.Service,
		Address: netip.MustParseAddrPort(s.BackendServer),
	}
	a, err := host.NewAgent(host.AgentConfig{
		Name:            s.Name,
		Domain:          s.Domain,
		PeerAddress:     netip.MustParseAddrPort(s.PacketAddress),
		OutboundAddress: netip.MustParseAddrPort(s.OutboundAddress),
		Backend:         backend,
		Balancers:       seedPeers(s),
		Codec:           packetForm,
		Registry:        p.registry,
		Log:             p.note,
		Hop:             p.hop(),
	})
	if err != nil {
		return errors.Wrap(err, "start agent")
	}
	p.stop = a.Stop
	p.gauges = func(c tally.Scope) { agentMetrics(c, a.Stats()) }
	h := platform.NewAgentHandler(a, backend, func(event, name string) {
		p.note(host.LogEvent{
			Event:  event,
			Member: name,
		})
	})
	return p.listen(h, s.ReadyAddress, s.CallsAddress)
}

// listen serves one handler at all addresses.
func (p *passing) listen(h http.Handler, addresses ...string) error {
	for _, a := range addresses {
		if a == "" {
			continue
		}
		l, err := net.Listen("tcp4", a)
		if err != nil {
			return errors.Wrap(err, "listen for calls")
		}
		s := &http.Server{
			Handler:           h,
			ReadHeaderTimeout: callHeaderTimeout,
		}
		p.servers = append(p.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	return nil
}

// waitForStop rereads the settings when asked and when their file has changed,
// until it is told to stop.
func (p *passing) waitForStop(path string, signals <-chan os.Signal) {
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	held := fileText(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-t.C:
			if fileText(path) == held {
				continue
			}
		}
		held = fileText(path)
		p.reload(path)
	}
}

// fileText returns the content of a file, empty if it cannot be read.
func fileText(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(b)
}

// reload puts the settings in force that can change while a process runs: the
// level of the log. Others wait for the next start.
func (p *passing) reload(path string) {
	f, err := readPassing(path)
	if err != nil {
		p.log.Warn().Err(err).Msg("settings kept, new ones cannot be used")
		return
	}
	p.log.SetLevel(log.ParseLevel(cmp.Or(f.Log.Level, "info")))
	p.log.Info().Msg("settings read again")
}

// hop returns what records the hops of sampled flows, nil if none are.
func (p *passing) hop() func(flow.Tuple, string) {
	if p.tracer == nil {
		return nil
	}
	return func(t flow.Tuple, name string) {
		if n := t.Hash(traceSalt); p.tracer.Sampled(n) {
			p.tracer.RecordHop(n, name)
		}
	}
}

// note writes one line of the log, unless there are too many.
func (p *passing) note(n host.LogEvent) {
	skipped, ok := p.bounded.Allow(time.Now())
	if !ok {
		return
	}
	skipped += p.lines.Dropped()
	e := p.log.Info()
	if n.Err != nil {
		e = p.log.Warn().Err(n.Err)
	}
	if n.Flow != (flow.Tuple{}) {
		e = e.Str("flow", n.Flow.String())
	}
	if n.Member != "" {
		e = e.Str("name", n.Member)
	}
	if n.Count != 0 {
		e = e.Int("count", n.Count)
	}
	if n.Version != 0 {
		e = e.Uint64("config_version", n.Version)
	}
	if skipped > 0 {
		e = e.Uint64("lines_left_out", skipped)
	}
	e.Msg(n.Event)
}
