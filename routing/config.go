// Package routing holds the operators' accepted configuration: which address
// and port belongs to which service, and what each service's targets bear.
package routing

import "time"

// Version orders configurations; it only rises.
type Version uint64

// Config is one accepted configuration. It is immutable once built.
type Config struct {
	Version  Version
	Routes   map[Address]Route
	Services map[string]Service
	// IdleTimeout is the silence after which a flow may be forgotten.
	IdleTimeout time.Duration
}

// Service is what a configuration says about one service.
type Service struct {
	// HealthPath is the HTTP path that backend servers answer.
	HealthPath string
	// ColdRate is the number of new flows a second that a cold target bears;
	// zero is no limit.
	ColdRate float64
	// MaxFlows bounds the flows of one target; zero is no limit.
	MaxFlows int
}
