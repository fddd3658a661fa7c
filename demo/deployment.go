// Package demo runs the whole system in one process with stand-ins for the
// platform, the fabric, the backend servers and the callers. It runs a scenario
// and reports what the callers and backend servers observed.
package demo

import (
	"fmt"
	"time"
)

// Deployment is one customer's region.
type Deployment struct {
	Region      string
	Domains     []string
	DomainDelay time.Duration
	ClientDelay time.Duration
	Services    []Service
}

// Service is one declared service and its targets.
type Service struct {
	Name    string
	Address string
	Targets []Target
}

// Target is one backend server. Speed is its speed relative to the fastest
// one's.
type Target struct {
	Name   string
	Domain string
	Speed  float64
}

const clientDelay = 3 * time.Millisecond

// Deployments returns both customers' deployments at their present sizes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Region:      "bayern",
			Domains:     []string{"muenchen-a", "muenchen-b", "nuernberg", "regensburg"},
			DomainDelay: 500 * time.Microsecond,
			ClientDelay: clientDelay,
			Services: []Service{
				newService("liedlive", "10.80.0.1:7000", 7, "muenchen-a", "muenchen-b", "nuernberg", "regensburg"),
				newService("ordo", "10.80.0.2:7001", 4, "muenchen-a", "muenchen-b", "nuernberg", "regensburg"),
			},
		},
		{
			Region:      "uy-sur",
			Domains:     []string{"mvd-centro", "mvd-pocitos", "pde-peninsula", "canelones-costa"},
			DomainDelay: 1500 * time.Microsecond,
			ClientDelay: clientDelay,
			Services: []Service{
				newService("mostrador", "10.81.0.1:7000", 7, "mvd-centro", "mvd-pocitos", "pde-peninsula", "canelones-costa"),
				newService("libro-noche", "10.81.0.2:7001", 4, "mvd-centro", "mvd-pocitos", "pde-peninsula", "canelones-costa"),
			},
		},
	}
}

// speeds are the relative speeds of a service's targets. They differ by up to a
// factor of four, as among servers bought over several years.
var speeds = []float64{1, 0.5, 0.25, 0.75, 1, 0.5, 0.35}

func newService(name, address string, targets int, domains ...string) Service {
	s := Service{
		Name:    name,
		Address: address,
	}
	for i := range targets {
		s.Targets = append(s.Targets, Target{
			Name:   fmt.Sprintf("%s-%d", name, i+1),
			Domain: domains[i%len(domains)],
			Speed:  speeds[i%len(speeds)],
		})
	}
	return s
}
