package demo

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/agent"
	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/standin/backend"
	"github.com/lentilshed/lentilshed/standin/fabric"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/target"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/uber-go/tally/v4"
)

// region is one running deployment.
type region struct {
	deployment  Deployment
	options     Options
	platformURL string
	seed        uint64
	fabric      *fabric.Fabric
	// link carries the packets to agents in other failure domains.
	link      *fabric.Link
	mu        sync.Mutex
	balancers map[string]*balancer.Runtime
	agents    map[string]*agent.Runtime
	backends  map[string]*backend.Server
	// agentDomains has the failure domain of the agent at each packet address, also of
	// agents that were killed.
	agentDomains map[netip.AddrPort]string
	removals     map[string]*removal
	incarnations uint64
}

// removal has the time at which the change that took a failure domain out of
// service was accepted, and that of the last packet sent to an agent there, from
// any domain.
type removal struct {
	since      time.Time
	lastPacket time.Time
}

func newRegion(d Deployment, o Options, platformURL string, seed uint64) (*region, error) {
	f, err := fabric.New(fabric.Config{
		Address:       "127.0.0.1:0",
		CallerDelay:   d.ClientDelay,
		Seed:          seed,
		KeepAliveIdle: 4 * time.Second,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start fabric")
	}
	g := &region{
		deployment:   d,
		options:      o,
		platformURL:  platformURL,
		seed:         seed,
		fabric:       f,
		link:         fabric.NewLink(seed + 1),
		balancers:    map[string]*balancer.Runtime{},
		agents:       map[string]*agent.Runtime{},
		backends:     map[string]*backend.Server{},
		agentDomains: map[netip.AddrPort]string{},
		removals:     map[string]*removal{},
	}
	return g, g.startAll()
}

func (g *region) startAll() error {
	for _, domain := range g.deployment.Domains {
		if err := g.startBalancer("balancer-"+domain, domain); err != nil {
			return err
		}
	}
	for _, s := range g.deployment.Services {
		for _, t := range s.Targets {
			if err := g.startBackend(s.Name, t); err != nil {
				return err
			}
			if err := g.startAgent(s.Name, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *region) startBalancer(name, domain string) error {
	incarnation := g.nextIncarnation()
	r, err := balancer.NewRuntime(balancer.RuntimeConfig{
		Config: balancer.Config{
			Name:           name,
			Region:         g.deployment.Region,
			Domain:         domain,
			Incarnation:    incarnation,
			PacketAddress:  "127.0.0.1:0",
			ControlAddress: "127.0.0.1:0",
			Seeds:          g.controlAddresses(),
			Lease: lease.Config{
				Holder:         fmt.Sprintf("%s/%d", name, incarnation),
				TTL:            balancer.LeaseTTL,
				RenewInterval:  balancer.LeaseRenewInterval,
				SilenceTimeout: balancer.LeaseSilenceTimeout,
			},
		},
		Platform: store.New(store.Config{
			BaseURL: g.platformURL,
			Seed:    g.seed + incarnation,
		}),
		Log:   telemetry.NewLogger(g.logWriter(), "balancer "+name, "info"),
		Scope: tally.NoopScope,
		Send:  g.sendFunc(domain),
	})
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	g.mu.Lock()
	g.balancers[name] = r
	g.mu.Unlock()
	g.updateFabric()
	return nil
}

func (g *region) startBackend(service string, t Target) error {
	b, err := backend.New(backend.Config{
		Name:      t.Name,
		Service:   service,
		Capacity:  uint32(float64(g.options.MaxCapacity) * t.Speed),
		ColdShare: coldShare,
		Warmup:    warmup,
		Latency:   time.Duration(float64(answerLatency) / t.Speed),
		ReportLag: reportLag,
		Address:   "127.0.0.1:0",
	})
	if err != nil {
		return errors.Wrapf(err, "start backend server %s", t.Name)
	}
	g.mu.Lock()
	g.backends[t.Name] = b
	g.mu.Unlock()
	return nil
}

func (g *region) startAgent(service string, t Target) error {
	b := g.backends[t.Name]
	incarnation := g.nextIncarnation()
	r, err := agent.NewRuntime(agent.RuntimeConfig{
		Config: agent.Config{
			Self:        target.ID(t.Name),
			Incarnation: target.Incarnation(incarnation),
			Service:     service,
			Domain:      t.Domain,
			Gate: target.GateConfig{
				Limit:     uint32(g.options.MaxCapacity),
				ColdShare: coldShare,
				Warmup:    warmup,
			},
			Seed: g.seed + incarnation,
		},
		Region:         g.deployment.Region,
		PacketAddress:  "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
		Balancers:      g.controlAddresses(),
		FabricAddress:  g.fabric.Address(),
		BackendAddress: b.Address(),
		LoadURL:        b.LoadURL(),
		KeepAliveIdle:  4 * time.Second,
		Log:            telemetry.NewLogger(g.logWriter(), "agent "+t.Name, "info"),
		Scope:          tally.NoopScope,
		Send:           g.sendFunc(t.Domain),
	})
	if err != nil {
		return errors.Wrapf(err, "start agent %s", t.Name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[t.Name] = r
	g.agentDomains[r.PacketAddress()] = t.Domain
	return nil
}

// sendFunc returns the function with which an instance in a failure domain
// sends packets. It delays packets to agents in other failure domains by
// DomainDelay, and records the time of each packet to an agent in a failure
// domain that is in removals.
func (g *region) sendFunc(domain string) func(*net.UDPConn, []byte, netip.AddrPort) error {
	return func(s *net.UDPConn, b []byte, to netip.AddrPort) error {
		g.mu.Lock()
		toDomain := g.agentDomains[to]
		if record := g.removals[toDomain]; record != nil {
			record.lastPacket = time.Now()
		}
		g.mu.Unlock()
		if toDomain == "" || toDomain == domain {
			_, err := s.WriteToUDPAddrPort(b, to)
			return errors.Wrap(err, "send")
		}
		g.link.Send(b, g.deployment.DomainDelay, func(b []byte) {
			_, _ = s.WriteToUDPAddrPort(b, to)
		})
		return nil
	}
}

// controlAddresses lists the control addresses of the running balancers.
func (g *region) controlAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []string
	for _, r := range g.balancers {
		l = append(l, r.ControlAddress())
	}
	return l
}

// updateFabric gives the fabric the packet addresses of the running balancers.
func (g *region) updateFabric() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []netip.AddrPort
	for _, r := range g.balancers {
		l = append(l, r.PacketAddress())
	}
	g.fabric.SetBalancers(l)
}

func (g *region) nextIncarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnations++
	return uint64(time.Now().UnixMilli())<<8 + g.incarnations
}

func (g *region) logWriter() io.Writer {
	if g.options.Log == nil {
		return io.Discard
	}
	return g.options.Log
}

// killBalancer closes a balancer without notice to the other instances. The
// fabric stops sending to it first.
func (g *region) killBalancer(name string) {
	g.mu.Lock()
	r := g.balancers[name]
	delete(g.balancers, name)
	g.mu.Unlock()
	g.updateFabric()
	r.Close()
}

// killTarget resets the flows of a target's backend server, which is cold then, and
// kills the agent beside it.
func (g *region) killTarget(name string) {
	g.mu.Lock()
	r := g.agents[name]
	delete(g.agents, name)
	g.mu.Unlock()
	g.backends[name].Crash()
	r.Kill()
}

func (g *region) close() {
	for _, r := range g.agents {
		r.Kill()
	}
	for _, r := range g.balancers {
		r.Close()
	}
	for _, b := range g.backends {
		b.Close()
	}
	g.fabric.Close()
	g.link.Close()
}

// countBehind returns the number of running balancers and agents whose declared
// state is older than a revision.
func (g *region) countBehind(revision uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.balancers {
		if r.State().IntentRevision < revision {
			n++
		}
	}
	for _, r := range g.agents {
		if r.State().IntentRevision < revision {
			n++
		}
	}
	return n
}

// countJoined returns the number of agents that have joined their service.
func (g *region) countJoined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.agents {
		if r.State().Joined {
			n++
		}
	}
	return n
}
