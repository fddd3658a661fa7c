package settings

import "fmt"

// Roles of a process that serves flows which backend servers end themselves.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

// Passing is the settings of a balancer or an agent on a platform where backend
// servers end flows themselves and all state lies in the platform's store.
type Passing struct {
	// Role is "balancer" or "agent".
	Role   string `toml:"role"`
	Name   string `toml:"name"`
	Region string `toml:"region"`
	// Domain is the failure domain that the instance runs in.
	Domain string `toml:"failure_domain"`
	// Packets takes the packets of callers, at a balancer, and the datagrams of
	// balancers, at an agent.
	Packets string `toml:"packet_address"`
	// Peer takes datagrams of agents and balancers, at a balancer; an agent takes
	// its port for that of the balancers.
	Peer string `toml:"peer_address"`
	// Ready answers whether the instance serves.
	Ready string `toml:"ready_address"`
	// Calls takes heartbeats; a balancer may leave it empty.
	Calls string `toml:"calls_address"`
	// Metrics is where metrics and health are served; empty for nowhere.
	Metrics string `toml:"metrics_address"`
	// Outbound takes the packets of the backend server, at an agent.
	Outbound string `toml:"outbound_address"`
	Service  string `toml:"service"`
	Backend  string `toml:"backend_server"`
	// Platform is the address of the platform's store.
	Platform string `toml:"platform"`
	// Seeds are instances where balancers may run.
	Seeds []string `toml:"seeds"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout Duration `toml:"stop_timeout"`
	// RemoteUse is the use of its slots above which a target's failure domain
	// passes new flows on to others; zero takes the default.
	RemoteUse float64 `toml:"remote_use"`
}

func (c *checker) checkPassing(p *Passing) {
	c.text("passing.name", p.Name)
	c.text("passing.region", p.Region)
	c.text("passing.failure_domain", p.Domain)
	c.address("passing.packet_address", p.Packets)
	c.address("passing.ready_address", p.Ready)
	c.address("passing.platform", p.Platform)
	c.address("passing.peer_address", p.Peer)
	c.optionalAddress("passing.metrics_address", p.Metrics)
	for n, s := range p.Seeds {
		c.address(fmt.Sprintf("passing.seeds[%d]", n), s)
	}
	if p.StopTimeout <= 0 || p.StopTimeout > maxStopTimeout {
		c.fail("passing.stop_timeout", "must be above 0s and at most 24h")
	}
	if p.RemoteUse < 0 || p.RemoteUse > 1 {
		c.fail("passing.remote_use", "must be between 0 and 1")
	}
	switch p.Role {
	case RoleBalancer:
		c.optionalAddress("passing.calls_address", p.Calls)
	case RoleAgent:
		c.address("passing.calls_address", p.Calls)
		c.address("passing.outbound_address", p.Outbound)
		c.address("passing.backend_server", p.Backend)
		c.text("passing.service", p.Service)
	default:
		c.fail("passing.role", "must be balancer or agent")
	}
}

func (c *checker) optionalAddress(key, s string) {
	if s != "" {
		c.address(key, s)
	}
}
