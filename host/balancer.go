// Package host runs the decisions of package director and package holder: it
// reads and sends datagrams, follows the registry and keeps the timers. Packets
// are decided and sent on by the goroutine that read them, under one lock: on
// instances with a small part of a core, handing packets between goroutines
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

// BalancerConfig says where a balancer runs and what it works with.
type BalancerConfig struct {
	Name   string
	Domain string
	// PacketAddress is where the fabric sends the packets of callers, and the port of
	// callers themselves.
	PacketAddress netip.AddrPort
	// PeerAddress is where agents and other balancers send datagrams.
	PeerAddress netip.AddrPort
	// SeedPeers are addresses where other balancers may run.
	SeedPeers []netip.AddrPort
	// StopTimeout bounds the time from the request to stop to the end.
	StopTimeout time.Duration
	Placement   placement.Config
	Codec       PacketCodec
	Registry    Registry
	Log         func(LogEvent)
	// Hop records that a packet of a flow passed here; nil for nowhere.
	Hop func(t flow.Tuple, name string)
}

// Balancer is a running balancer.
type Balancer struct {
	config  BalancerConfig
	mu      sync.Mutex
	model   *director.Model
	packets *socket
	peer    *socket
	out     []byte
	// flushing is set while a flush of queries is due.
	flushing bool
	stopping atomic.Bool
	// fresh is the age of the declared state, and agents the list of agents.
	fresh   *freshness.Model
	agents  *listing.Agents
	looks   [freshness.Kinds]chan struct{}
	fetches chan freshness.FetchEffect
	server  *http.Server
	// passed counts packets of callers, so that a stop can wait for them.
	passed atomic.Uint64
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

const (
	// tickPeriod is shorter than every timeout of the decisions.
	tickPeriod = 50 * time.Millisecond
	// flushDelay collects questions about flows into few datagrams.
	flushDelay = 2 * time.Millisecond
	// peersPeriod is the time between two cached lists of balancers.
	peersPeriod = 5 * time.Second
	// callTimeout bounds one call of the registry.
	callTimeout = 800 * time.Millisecond
	// callPause is the time between failed calls.
	callPause = 250 * time.Millisecond
	// watchTime is the longest wait at the store for a change.
	watchTime = 20 * time.Second
	// configAge and domainsAge are the longest times without a confirmation that
	// the state in force is the newest; configurations are in force within 3 s,
	// domains are out within 5 s.
	configAge  = 1600 * time.Millisecond
	domainsAge = 2800 * time.Millisecond
	// agentsAge bounds the age of the list of agents; a decision that needs a newer
	// one looks for itself, and agents also make themselves heard.
	agentsAge = 10 * time.Second
	// watchers is the number of balancers that wait at the store; two may be
	// turned away by it.
	watchers = 3
)

// NewBalancer opens the sockets and starts all duties.
func NewBalancer(c BalancerConfig) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		config: c,
		model: director.NewModel(director.Config{
			Name:      c.Name,
			Domain:    c.Domain,
			Placement: c.Placement,
		}, time.Now()),
		cancel: cancel,
		fresh: freshness.NewModel(freshness.Config{
			Name:          c.Name,
			Address:       c.PeerAddress,
			MaxConfigAge:  configAge,
			MaxDomainsAge: domainsAge,
			MaxAgentsAge:  agentsAge,
			Watchers:      watchers,
			Seed:          xxh3.HashString(c.Name),
		}),
		agents:  listing.NewAgents(),
		fetches: make(chan freshness.FetchEffect, 1),
	}
	for k := range b.looks {
		b.looks[k] = make(chan struct{}, 1)
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

func (b *Balancer) start(ctx context.Context) {
	b.run(func() { b.packets.serve(b.fromFabric) })
	b.run(func() { b.peer.serve(b.fromPeer) })
	b.run(func() { b.followConfig(ctx) })
	b.run(func() { b.followDomains(ctx) })
	b.run(func() { b.followAgents(ctx) })
	b.run(func() { b.followPeers(ctx) })
	b.run(func() { b.fetchDeclared(ctx) })
	b.run(func() { b.register(ctx) })
	b.run(func() { b.keepFlows(ctx) })
	b.run(func() { b.ticks(ctx) })
}

func (b *Balancer) run(f func()) {
	b.wait.Go(f)
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

// Stats returns the counters so far.
func (b *Balancer) Stats() director.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.Stats()
}

const (
	// rotationDelay is the time after which the fabric has left out a balancer
	// that is not ready: two questions, twice a second, and some slack.
	rotationDelay = 1600 * time.Millisecond
	// quietTime is the time without packets after which a stop goes on.
	quietTime = 500 * time.Millisecond
	// stopReserve is kept of the grace time for the end of the process.
	stopReserve = 1500 * time.Millisecond
)

// Stop leaves the rotation, passes packets on until none come, and ends.
func (b *Balancer) Stop() {
	b.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), b.config.StopTimeout-stopReserve)
	defer cancel()
	b.config.unregister(ctx)
	pause(ctx, rotationDelay)
	for n := b.passed.Load(); ctx.Err() == nil; {
		pause(ctx, quietTime)
		if x := b.passed.Load(); x == n {
			break
		} else {
			n = x
		}
	}
	b.Kill()
}

// Kill ends all duties at once.
func (b *Balancer) Kill() {
	b.cancel()
	b.packets.close()
	b.peer.close()
	_ = b.server.Close()
	b.wait.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (b *Balancer) ticks(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var s standstill
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.check() {
			b.config.Log(LogEvent{
				Event: "process stood still, asking for new reports",
			})
			b.update(director.ResumedMsg{})
		}
		b.update(director.TickMsg{})
		b.updateFreshness(freshness.TickMsg{})
	}
}
