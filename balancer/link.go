package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
)

const (
	roleAgent    = "agent"
	roleBalancer = "balancer"
	// roleClaimant is a balancer on its connection to the registrar, which
	// carries no floods.
	roleClaimant = "claimant"
)

// link is one control connection and what its peer has been sent.
type link struct {
	hello    *controlpb.Hello
	revision uint64
	version  roster.Version
	resentAt time.Time
	uplink   bool
}

// balancer reports whether the peer is a neighbour, to flood news to.
func (l *link) balancer() bool {
	return !l.uplink && l.hello.GetRole() == roleBalancer
}

// fromBalancer reports whether the peer is a balancer on any connection.
func (l *link) fromBalancer() bool {
	return l.balancer() || l.hello.GetRole() == roleClaimant
}

// agent reports whether the peer is an agent.
func (l *link) agent() bool {
	return l.hello.GetRole() == roleAgent
}

// listener is one agent that this balancer hears.
type listener struct {
	conn     ConnID
	member   *controlpb.Member
	vitals   *controlpb.Vitals
	revision uint64
	version  uint64
	heardAt  time.Time
	suspect  bool
}

// pinger is one balancer that the registrar hears.
type pinger struct {
	ping    *controlpb.Ping
	heardAt time.Time
}
