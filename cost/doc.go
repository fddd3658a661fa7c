// Package cost estimates how much work requests bring to backend servers, and how much work a
// backend server still has to do. Placement, admission and the agents' queues use the same
// estimates.
//
// An agent has a Table, which learns the distribution of the work of each route's requests at
// its own backend server. It reports them and the remaining work as a Load. Balancers merge the
// costs of all agents of a service with a Merger, and send the result back as the prior of
// agents that know little. Nothing in this package does I/O or reads a clock.
package cost
