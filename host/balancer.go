// Package host performs the I/O for the models of package director and package
// holder: it receives and sends datagrams, follows the registry and runs the timers.
// The goroutine that reads a packet also decides about it and sends it on, under one
// lock: on instances with a small part of a core, handing packets between goroutines
// costs more than the decisions.
package host

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/listing"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/zeebo/xxh3"
)

// BalancerConfig holds the settings and dependencies of a balancer.
type BalancerConfig struct {
	Name   string
	Domain string
	// PacketAddress is where the fabric sends the packets of callers. Its port is also
	// the port at callers to which packets are sent.
	PacketAddress netip.AddrPort
	// PeerAddress is where agents and other balancers send datagrams.
	PeerAddress netip.AddrPort
	// SeedPeers are addresses where other balancers may run.
	SeedPeers []netip.AddrPort
	// StopTimeout bounds the time from the request to stop to the end of the process.
	StopTimeout time.Duration
	// ConfigDeadline and DomainDeadline are the times within which an accepted
	// configuration, and the removal of a failure domain from service, must be in force;
	// zero or less is the default.
	ConfigDeadline time.Duration
	DomainDeadline time.Duration
	// RestartGrace is the time after an unplanned start of an agent in which the users'
	// rules leave it out; zero or less is the default.
	RestartGrace time.Duration
	// LoadAware makes placement and admission depend on learned costs and on failing backend
	// servers.
	LoadAware bool
	Placement placement.Config
	Codec     PacketCodec
	Registry  Registry
	Log       func(LogEvent)
	// Hop records in a trace that a packet of a flow passed here; nil records nothing.
	Hop func(t flow.Tuple, name string)
}

// Balancer is a running balancer.
type Balancer struct {
	config  BalancerConfig
	mu      sync.Mutex
	model   *director.Model
	packets *socket
	peer    *socket
	buffer  []byte
	// flushing is set while a flush of queries is scheduled.
	flushing bool
	stopping atomic.Bool
	// freshness tracks the age of the declared state.
	freshness *freshness.Model
	agents    *listing.Agents
	// readRequests has a channel for each kind of state, which makes the watcher of
	// that state check the store at once.
	readRequests [freshness.Kinds]chan struct{}
	// fetches and agentFetches have the requested fetches of newer state from peers, one of a
	// kind at most.
	fetches      chan freshness.FetchEffect
	agentFetches chan freshness.FetchEffect
	server       *http.Server
	// declared has the response to fetches of the declared state.
	declared declaredBody
	// packetCount counts packets of callers, so that Stop can wait until none come.
	packetCount atomic.Uint64
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
}

const (
	// tickInterval is shorter than every timeout of the models.
	tickInterval = 50 * time.Millisecond
	// flushDelay is the time for which queries of flows are collected into few datagrams.
	flushDelay = 2 * time.Millisecond
	// peersInterval is the time between two reads of the cached list of balancers.
	peersInterval = 10 * time.Second
	// callTimeout bounds one call to the registry. For reads, it is the time for the first
	// part of the response to arrive.
	callTimeout = 800 * time.Millisecond
	// callRetryDelay is the time between a failed call and the next attempt.
	callRetryDelay = 250 * time.Millisecond
	// watchTimeout is the longest time for which one call waits for a change in the store.
	watchTimeout          = 20 * time.Second
	defaultConfigDeadline = 3 * time.Second
	defaultDomainDeadline = 5 * time.Second
	// ageShare is the part of a deadline for which state may stay in force without a
	// confirmation that it is the newest. The rest is for a read that fails once.
	ageShare = 0.54
	// maxAgentsAge bounds the age of the list of agents. A decision that needs a newer
	// one requests a read of the store, and new agents also send reports.
	maxAgentsAge = 10 * time.Second
	// maxWatchers is the number of balancers that watch the store; the store may refuse
	// two of them.
	maxWatchers = 3
)

// NewBalancer opens the sockets and starts the goroutines of a balancer.
func NewBalancer(c BalancerConfig) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		config: c,
		model: director.NewModel(director.Config{
			Name:         c.Name,
			Domain:       c.Domain,
			Placement:    c.Placement,
			RestartGrace: c.RestartGrace,
			LoadAware:    c.LoadAware,
		}, time.Now()),
		cancel: cancel,
		freshness: freshness.NewModel(freshness.Config{
			Name:          c.Name,
			Address:       c.PeerAddress,
			MaxConfigAge:  maxAge(c.ConfigDeadline, defaultConfigDeadline),
			MaxDomainsAge: maxAge(c.DomainDeadline, defaultDomainDeadline),
			MaxAgentsAge:  maxAgentsAge,
			Watchers:      maxWatchers,
			Seed:          xxh3.HashString(c.Name),
		}),
		agents:       listing.NewAgents(),
		fetches:      make(chan freshness.FetchEffect, freshness.Kinds),
		agentFetches: make(chan freshness.FetchEffect, 1),
	}
	for k := range b.readRequests {
		b.readRequests[k] = make(chan struct{}, 1)
	}
	b.updateFreshness(freshness.PeersMsg{
		Addresses: c.SeedPeers,
	})
	var err error
	if b.packets, err = openSocket(c.PacketAddress); err != nil {
		cancel()
		return nil, err
	}
	if b.peer, err = openSocket(c.PeerAddress); err != nil {
		cancel()
		b.packets.close()
		return nil, err
	}
	if err = b.serveDeclared(); err != nil {
		cancel()
		b.packets.close()
		b.peer.close()
		return nil, err
	}
	b.start(ctx)
	return b, nil
}

// maxAge returns the longest time without a confirmation for a deadline.
func maxAge(deadline, byDefault time.Duration) time.Duration {
	if deadline <= 0 {
		deadline = byDefault
	}
	return time.Duration(ageShare * float64(deadline))
}

func (b *Balancer) start(ctx context.Context) {
	b.run(func() { b.packets.serve(b.fromFabric) })
	b.run(func() { b.peer.serve(b.fromPeer) })
	b.run(func() { b.followConfig(ctx) })
	b.run(func() { b.followDomains(ctx) })
	b.run(func() { b.followAgents(ctx) })
	b.run(func() { b.followPeers(ctx) })
	b.run(func() { b.runFetches(ctx, b.fetches) })
	b.run(func() { b.runFetches(ctx, b.agentFetches) })
	b.run(func() { b.register(ctx) })
	b.run(func() { b.runSnapshots(ctx) })
	b.run(func() { b.runTicks(ctx) })
}

func (b *Balancer) run(f func()) {
	b.goroutines.Go(f)
}

// Ready reports whether the fabric should send packets here.
func (b *Balancer) Ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.Ready(time.Now())
}

// Stats returns the counters since the start.
func (b *Balancer) Stats() director.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.Stats()
}

const (
	// rotationDelay is the time after which the fabric has taken a balancer that is
	// not ready out of rotation: two readiness checks, twice a second, and some slack.
	rotationDelay = 1600 * time.Millisecond
	// silenceTimeout is the time without packets after which Stop ends the balancer.
	silenceTimeout = 500 * time.Millisecond
	// stopReserve is the part of StopTimeout that is reserved for the end of the process.
	stopReserve = 1500 * time.Millisecond
)

// Stop makes the balancer not ready, forwards packets until none come or StopTimeout
// is almost over, and ends it.
func (b *Balancer) Stop() {
	b.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), b.config.StopTimeout-stopReserve)
	defer cancel()
	b.config.unregister(ctx)
	sleep(ctx, rotationDelay)
	for n := b.packetCount.Load(); ctx.Err() == nil; {
		sleep(ctx, silenceTimeout)
		if x := b.packetCount.Load(); x == n {
			break
		} else {
			n = x
		}
	}
	b.Kill()
}

// Kill ends all goroutines of the balancer at once.
func (b *Balancer) Kill() {
	b.cancel()
	b.packets.close()
	b.peer.close()
	_ = b.server.Close()
	b.goroutines.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (b *Balancer) runTicks(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var detector pauseDetector
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if detector.check() {
			b.config.Log(LogEvent{
				Event: "process was paused; requesting new reports from agents",
			})
			b.update(director.ResumedMsg{})
		}
		b.update(director.TickMsg{})
		b.updateFreshness(freshness.TickMsg{})
	}
}
