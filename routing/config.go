// Package routing holds the operators' accepted configuration: which address
// and port belongs to which service, and what each service's targets bear.
package routing

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// Version orders configurations; it only rises.
type Version uint64

// Address is what callers connect to.
type Address struct {
	Host uint32
	Port uint16
}

// Of returns the address that the caller of a flow connected to.
func Of(t flow.Tuple) Address {
	return Address{
		Host: t.Address,
		Port: t.AddressPort,
	}
}

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
