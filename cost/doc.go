// Package cost estimates how much work requests bring to backend servers, and how much work a
// backend server still has to do. Placement, admission and the agents' queues use the same
// estimates.
package cost
