// Package routing holds the operators' accepted configuration: which address and port
// belongs to which service, and how much load each service's targets can handle.
package routing

import "time"

// Version orders configurations; it only rises.
type Version uint64

// Config is one accepted configuration. It is immutable once built.
type Config struct {
	Version  Version
	Routes   map[Address]Route
	Services map[string]Service
	// IdleTimeout is the time without packets after which a flow may be removed.
	IdleTimeout time.Duration
}

// Service is what a configuration says about one service.
type Service struct {
	// HealthPath is the HTTP path of health checks at backend servers.
	HealthPath string
	// ColdRate is the number of new flows a second that a cold target can handle;
	// zero is no limit.
	ColdRate float64
	// MaxFlows is the maximum number of flows of one target; zero is no limit.
	MaxFlows int
	// WarmUp is the time for which a target is cold after its start; zero is unknown.
	WarmUp time.Duration
}
