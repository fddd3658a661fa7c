package host

import "github.com/lentilshed/lentilshed/flow"

// The names of the trace spans, one for each kind of hop.
const (
	hopFabric        = "balancer: packet from the fabric"
	hopRejected      = "balancer: packet returned by an agent"
	hopBalancerReset = "balancer: flow reset"
	hopBalancer      = "agent: packet from a balancer"
	hopBackend       = "agent: packet from the backend server"
	hopAgentReset    = "agent: flow reset"
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
