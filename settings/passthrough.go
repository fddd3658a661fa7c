package settings

import (
	"fmt"
	"time"
)

// Roles of a process with Passthrough settings.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

// Passthrough is the settings of a balancer or an agent on a platform where the
// backend servers terminate flows themselves and all state is in the platform's
// store.
type Passthrough struct {
	// Role is "balancer" or "agent".
	Role   string `toml:"role"`
	Name   string `toml:"name"`
	Region string `toml:"region"`
	// Domain is the failure domain that the instance runs in.
	Domain string `toml:"failure_domain"`
	// PacketAddress receives the packets of callers, at a balancer, and the datagrams
	// of balancers, at an agent.
	PacketAddress string `toml:"packet_address"`
	// PeerAddress receives datagrams of agents and other balancers, at a balancer. An
	// agent uses only its port, as the port of all balancers.
	PeerAddress string `toml:"peer_address"`
	// ReadyAddress is where readiness is served.
	ReadyAddress string `toml:"ready_address"`
	// CallsAddress is where an agent receives heartbeats. A balancer may leave it
	// empty. Readiness is served there, too.
	CallsAddress string `toml:"calls_address"`
	// MetricsAddress is where metrics and health are served; empty for nowhere.
	MetricsAddress string `toml:"metrics_address"`
	// OutboundAddress receives the packets of the backend server, at an agent.
	OutboundAddress string `toml:"outbound_address"`
	Service         string `toml:"service"`
	BackendServer   string `toml:"backend_server"`
	// Platform is the address of the platform's store.
	Platform string `toml:"platform"`
	// Seeds are addresses of instances where balancers may run. Their ports are
	// replaced by that of PeerAddress.
	Seeds []string `toml:"seeds"`
	// StopTimeout bounds the time of a balancer's graceful shutdown. It is required,
	// but not used, at an agent.
	StopTimeout Duration `toml:"stop_timeout"`
	// ConfigDeadline and DomainDeadline are the times within which an accepted
	// configuration, and the removal of a failure domain from service, must be in force
	// at a balancer; zero means the default.
	ConfigDeadline Duration `toml:"config_deadline"`
	DomainDeadline Duration `toml:"domain_deadline"`
	// StabilityTime is the time after a fault in which the users' rules leave an instance
	// out; zero means the default.
	StabilityTime Duration `toml:"stability_time"`
	// RemoteUse is the share of slots in use at the best local target above which new
	// flows may go to other failure domains; zero means the default.
	RemoteUse float64 `toml:"remote_use"`
	// QueuePackets and QueueBytes bound the packets of waiting requests at an agent; zero means
	// the default.
	QueuePackets int `toml:"queue_packets"`
	QueueBytes   int `toml:"queue_bytes"`
	// QueueAhead is the number of requests that a backend server has beyond its slots while
	// others wait at its agent; missing means the default.
	QueueAhead *int `toml:"queue_ahead"`
	// Contracts are the parts of the users' rules that are in force. Unknown ones are
	// ignored.
	Contracts []string `toml:"contracts"`
}

func (c *checker) checkPassthrough(p *Passthrough) {
	c.text("passing.name", p.Name)
	c.text("passing.region", p.Region)
	c.text("passing.failure_domain", p.Domain)
	c.address("passing.packet_address", p.PacketAddress)
	c.address("passing.ready_address", p.ReadyAddress)
	c.address("passing.platform", p.Platform)
	c.address("passing.peer_address", p.PeerAddress)
	c.optionalAddress("passing.metrics_address", p.MetricsAddress)
	for n, s := range p.Seeds {
		c.address(fmt.Sprintf("passing.seeds[%d]", n), s)
	}
	if p.StopTimeout <= 0 || p.StopTimeout > maxStopTimeout {
		c.fail("passing.stop_timeout", "must be above 0s and at most 24h")
	}
	c.deadline("passing.config_deadline", p.ConfigDeadline)
	c.deadline("passing.domain_deadline", p.DomainDeadline)
	c.deadline("passing.stability_time", p.StabilityTime)
	if p.RemoteUse < 0 || p.RemoteUse > 1 {
		c.fail("passing.remote_use", "must be between 0 and 1")
	}
	c.checkQueue(p)
	switch p.Role {
	case RoleBalancer:
		c.optionalAddress("passing.calls_address", p.CallsAddress)
	case RoleAgent:
		c.address("passing.calls_address", p.CallsAddress)
		c.address("passing.outbound_address", p.OutboundAddress)
		c.address("passing.backend_server", p.BackendServer)
		c.text("passing.service", p.Service)
	default:
		c.fail("passing.role", "must be balancer or agent")
	}
}

func (c *checker) checkQueue(p *Passthrough) {
	if p.QueuePackets < 0 || p.QueuePackets > maxQueuePackets {
		c.fail("passing.queue_packets", fmt.Sprintf("must be between 1 and %d, or 0 for the default", maxQueuePackets))
	}
	if p.QueueAhead != nil && (*p.QueueAhead < 0 || *p.QueueAhead > maxQueueAhead) {
		c.fail("passing.queue_ahead", fmt.Sprintf("must be between 0 and %d", maxQueueAhead))
	}
	if p.QueueBytes != 0 && (p.QueueBytes < minQueueBytes || p.QueueBytes > maxQueueBytes) {
		c.fail("passing.queue_bytes", fmt.Sprintf("must be between %d and %d, or 0 for the default", minQueueBytes, maxQueueBytes))
	}
}

func (c *checker) optionalAddress(key, s string) {
	if s != "" {
		c.address(key, s)
	}
}

const (
	// minDeadline is the shortest deadline that can be met while the platform's store
	// answers within its timeout, and maxDeadline keeps a typing error from making
	// balancers serve stale state.
	minDeadline = Duration(2 * time.Second)
	maxDeadline = Duration(time.Minute)
)

const (
	// maxQueuePackets and maxQueueBytes keep the queue within a part of an agent's memory,
	// which is 88 MB on the smallest instances, and minQueueBytes leaves room for the largest
	// packet.
	maxQueuePackets = 16384
	// maxQueueAhead is below what backend servers let wait before they shed requests.
	maxQueueAhead = 8
	minQueueBytes = 64 << 10
	maxQueueBytes = 16 << 20
)

func (c *checker) deadline(key string, d Duration) {
	if d != 0 && (d < minDeadline || d > maxDeadline) {
		c.fail(key, "must be between 2s and 1m")
	}
}
