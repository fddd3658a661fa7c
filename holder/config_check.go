package holder

import (
	"net/netip"
	"time"
)

// ConfigCheckEffect sends the version of the configuration that this agent knows to a
// balancer, which answers with a report request if it knows a later one.
type ConfigCheckEffect struct {
	To      netip.AddrPort
	Version uint64
}

const (
	// minConfigCheckInterval is a small part of the time within which a configuration must
	// be in force.
	minConfigCheckInterval = time.Second
	// balancersPerCheckInterval is the number of balancers for which the interval grows by
	// minConfigCheckInterval, so that the checks that balancers receive stay within their
	// control traffic in regions with thousands of balancers and ten agents for each.
	balancersPerCheckInterval = 150
)

// ConfigCheckInterval returns the time between two checks of an agent that knows a number of
// balancers.
func ConfigCheckInterval(balancers int) time.Duration {
	return minConfigCheckInterval * time.Duration(max(1, balancers/balancersPerCheckInterval))
}

// checkConfig sends a check to one balancer after the other while the agent sends no reports,
// to which balancers reply with a later configuration as well. Without either, an agent would
// not learn of a new configuration until it reads it from the registry.
func (m *Model) checkConfig(now time.Time, reported bool) {
	if reported {
		m.configCheckedAt = now
		return
	}
	if !m.BackendSeen() || now.Sub(m.configCheckedAt) < minConfigCheckInterval {
		return
	}
	l := m.subscribers.Known(now)
	if len(l) == 0 || now.Sub(m.configCheckedAt) < ConfigCheckInterval(len(l)) {
		return
	}
	m.configCheckedAt = now
	m.configChecks++
	m.emit(ConfigCheckEffect{
		To:      l[m.configChecks%len(l)],
		Version: m.declared.Version,
	})
}
