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
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/settings"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
)

const (
	// balancerProbeDelay and agentProbeDelay are the longest delays between two probes of
	// a store that fails. Balancers wait for configurations; agents get what they need
	// from balancers.
	balancerProbeDelay = time.Second
	agentProbeDelay    = 2 * time.Second
	// restartMargin is how much earlier than the users' rules a balancer counts an agent
	// that has just started as known: the time of the start is known from its report.
	restartMargin = 500 * time.Millisecond
	// callHeaderTimeout bounds the time to read the header of an HTTP call.
	callHeaderTimeout = 2 * time.Second
	// settingsInterval is the time between two checks of the settings file, which may
	// change without a signal.
	settingsInterval = 5 * time.Second
	// logRate and logBurst bound the log lines of events, per second and at one time;
	// a line costs as much as a packet.
	logRate  = 40
	logBurst = 200
	// logFlushTimeout bounds the time to write the last log lines. It is well below
	// the time in which a process has to end after its stop.
	logFlushTimeout = 300 * time.Millisecond
	// traceSalt makes the sampling of flows independent of other uses of their hash.
	traceSalt = 0x7ace
)

// passthrough is a running balancer or agent for flows that the backend servers
// terminate themselves.
type passthrough struct {
	settings   *settings.Passthrough
	log        *log.Logger
	logWriter  *telemetry.AsyncWriter
	logLimiter telemetry.RateLimiter
	tracer     *telemetry.Tracer
	servers    []*http.Server
	registry   host.Registry
	metrics    *telemetry.Metrics
	admin      *telemetry.AdminServer
	// updateGauges updates the metrics, and stop stops the balancer or agent.
	updateGauges func(tally.Scope)
	stop         func()
}

func newPassthroughCommand(out io.Writer) *cobra.Command {
	var path string
	var contracts []string
	c := &cobra.Command{
		Use:   "serve [--config FILE] [--contracts LIST]",
		Short: "Run the balancer or agent that the settings describe, on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = platform.SettingsPath()
			}
			return servePassthrough(path, contracts, out)
		},
	}
	c.Flags().StringVar(&path, "config", "", "TOML settings file; by default the one that the platform provides")
	c.Flags().StringSliceVar(&contracts, "contracts", nil, "parts of the users' rules that are in force, besides those in the settings")
	return c
}

// servePassthrough runs one process until SIGTERM or SIGINT.
func servePassthrough(path string, contracts []string, out io.Writer) error {
	f, err := readPassthrough(path)
	if err != nil {
		return err
	}
	f.Passthrough.Contracts = append(f.Passthrough.Contracts, contracts...)
	logWriter := telemetry.NewAsyncWriter(out)
	defer logWriter.Close(logFlushTimeout)
	tracer, file, err := openTraces(f.Trace, f.Passthrough.Name, logWriter)
	if err != nil {
		return err
	}
	defer closeTraces(tracer, file)
	p := &passthrough{
		settings:  f.Passthrough,
		log:       telemetry.NewLogger(logWriter, f.Passthrough.Role+" "+f.Passthrough.Name, f.Log.Level),
		logWriter: logWriter,
		tracer:    tracer,
		logLimiter: telemetry.RateLimiter{
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

func readPassthrough(path string) (*settings.File, error) {
	f, err := settings.Read(path)
	if err != nil {
		return nil, err
	}
	if f.Passthrough == nil {
		return nil, failure.Mark(errors.Newf("%s: passing: section is missing", path), settings.ErrInvalid)
	}
	return f, nil
}

func (p *passthrough) start() error {
	delay := balancerProbeDelay
	if p.settings.Role == settings.RoleAgent {
		delay = agentProbeDelay
	}
	t := &store.Transport{
		HTTP: store.NewHTTPClient(),
		Breaker: store.NewBreaker(store.BreakerConfig{
			MaxDelay: delay,
		}),
	}
	p.registry = platform.NewRegistry(p.settings.Platform, t, func(event, name string) {
		p.logEvent(host.LogEvent{
			Event: event,
			Name:  name,
		})
	})
	if p.settings.Role == settings.RoleAgent {
		return p.startAgent()
	}
	return p.startBalancer()
}

var packetCodec = host.PacketCodec{
	DecodeFromCaller:  platform.DecodeFromCaller,
	DecodeFromBackend: platform.DecodeFromBackend,
	Restore:           platform.Restore,
	AppendReset:       platform.AppendReset,
}

func (p *passthrough) startBalancer() error {
	s := p.settings
	placementConfig := placement.DefaultConfig()
	if s.RemoteUse > 0 {
		placementConfig.RemoteUse = s.RemoteUse
	}
	b, err := host.NewBalancer(host.BalancerConfig{
		Name:          s.Name,
		Domain:        s.Domain,
		PacketAddress: netip.MustParseAddrPort(s.PacketAddress),
		PeerAddress:   netip.MustParseAddrPort(s.PeerAddress),
		SeedPeers:     seedPeers(s),
		StopTimeout:   time.Duration(s.StopTimeout),

		ConfigDeadline: time.Duration(s.ConfigDeadline),
		DomainDeadline: time.Duration(s.DomainDeadline),
		RestartGrace:   time.Duration(s.StabilityTime) - restartMargin,

		LoadAware: platform.LoadAware(s.Contracts),
		Placement: placementConfig,
		Codec:     packetCodec,
		Registry:  p.registry,
		Log:       p.logEvent,
		Hop:       p.hopRecorder(),
	})
	if err != nil {
		return errors.Wrap(err, "start balancer")
	}
	p.stop = b.Stop
	p.updateGauges = func(c tally.Scope) {
		balancerMetrics(c, b.Stats())
		ageGauges(c, b.Ages())
	}
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

func (p *passthrough) startAgent() error {
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
		LoadAware:       platform.LoadAware(s.Contracts),
		Queue: queue.Limits{
			Packets: s.QueuePackets,
			Bytes:   s.QueueBytes,
		},
		Ahead:    queueAhead(s),
		Codec:    packetCodec,
		Registry: p.registry,
		Log:      p.logEvent,
		Hop:      p.hopRecorder(),
	})
	if err != nil {
		return errors.Wrap(err, "start agent")
	}
	p.stop = a.Stop
	p.updateGauges = func(c tally.Scope) { agentMetrics(c, a.Stats()) }
	h := platform.NewAgentHandler(a, backend, func(event, name string) {
		p.logEvent(host.LogEvent{
			Event: event,
			Name:  name,
		})
	})
	return p.listen(h, s.ReadyAddress, s.CallsAddress)
}

// defaultQueueAhead is the number of requests beyond the slots at a backend server: it takes an
// agent with a quarter of a core some milliseconds to pass the next one on, in which a slot would
// be idle. In a burst at backend servers with two slots and 15 ms of work, 2,356 of 7,060 requests
// were late without any, and 134 with two.
const defaultQueueAhead = 2

func queueAhead(s *settings.Passthrough) int {
	if s.QueueAhead == nil {
		return defaultQueueAhead
	}
	return *s.QueueAhead
}

// listen serves one handler at all addresses that are not empty.
func (p *passthrough) listen(h http.Handler, addresses ...string) error {
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

// waitForStop reloads the settings on SIGHUP and when their file has changed, until
// SIGTERM or SIGINT.
func (p *passthrough) waitForStop(path string, signals <-chan os.Signal) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	loaded := fileText(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-t.C:
			if fileText(path) == loaded {
				continue
			}
		}
		loaded = fileText(path)
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

// reload applies the only setting that can change while a process runs: the level
// of the log. Others take effect at the next start.
func (p *passthrough) reload(path string) {
	f, err := readPassthrough(path)
	if err != nil {
		p.log.Warn().Err(err).Msg("changed settings are invalid; keeping the previous ones")
		return
	}
	p.log.SetLevel(log.ParseLevel(cmp.Or(f.Log.Level, "info")))
	p.log.Info().Msg("settings reloaded")
}

// hopRecorder returns a function that records the hops of sampled flows, nil if
// tracing is off.
func (p *passthrough) hopRecorder() func(flow.Tuple, string) {
	if p.tracer == nil {
		return nil
	}
	return func(t flow.Tuple, name string) {
		if n := t.Hash(traceSalt); p.tracer.Sampled(n) {
			p.tracer.RecordHop(n, name)
		}
	}
}

// logEvent writes one line to the log, unless the rate limit is reached.
func (p *passthrough) logEvent(event host.LogEvent) {
	skipped, ok := p.logLimiter.Allow(time.Now())
	if !ok {
		return
	}
	skipped += p.logWriter.Dropped()
	e := p.log.Info()
	if event.Err != nil {
		e = p.log.Warn().Err(event.Err)
	}
	if event.Flow != (flow.Tuple{}) {
		e = e.Str("flow", event.Flow.String())
	}
	if event.Name != "" {
		e = e.Str("name", event.Name)
	}
	if event.Count != 0 {
		e = e.Int("count", event.Count)
	}
	if event.Version != 0 {
		e = e.Uint64("config_version", event.Version)
	}
	if event.Age != 0 {
		e = e.Int64("age_ms", event.Age.Milliseconds())
	}
	if skipped > 0 {
		e = e.Uint64("lines_left_out", skipped)
	}
	e.Msg(event.Event)
}
