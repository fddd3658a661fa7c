package routing

import "github.com/lentilshed/lentilshed/flow"

// Route sends the new flows of one address to services.
type Route struct {
	Name   string
	Shares []Share
	Class  Class
}

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  uint32
}

// splitSalt makes the choice of a service independent of other uses of the hash.
const splitSalt = 0x5917

// Service returns the service of a new flow, or false if no share has a weight. All
// copies of a flow's first packet get the same service at every instance with the same
// configuration.
func (r Route) Service(t flow.Tuple) (string, bool) {
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return "", false
	}
	n := t.Hash(splitSalt) % total
	for _, s := range r.Shares {
		if n < uint64(s.Weight) {
			return s.Service, true
		}
		n -= uint64(s.Weight)
	}
	return "", false
}

// Opens reports whether new flows of a route may go to a service.
func (r Route) Opens(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Includes reports whether a route names a service, whatever its weight.
func (r Route) Includes(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}
