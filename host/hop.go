package host

import "github.com/lentilshed/lentilshed/flow"

// Names of the hops that leave a span each for a sampled flow.
const (
	hopFabric   = "balancer: packet from the fabric"
	hopRejected = "balancer: packet returned by an agent"
	hopReset    = "balancer: flow reset"
	hopBalancer = "agent: packet from a balancer"
	hopTarget   = "agent: packet from the backend server"
	hopEnded    = "agent: flow reset"
)

func (c *BalancerConfig) hop(t flow.Tuple, name string) {
	if c.Hop != nil {
		c.Hop(t, name)
	}
}

func (c *AgentConfig) hop(t flow.Tuple, name string) {
	if c.Hop != nil {
		c.Hop(t, name)
	}
}
