package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
)

const (
	roleAgent    = "agent"
	roleBalancer = "balancer"
	// roleClaimant is the role of a balancer on its connection to the registrar.
	// Nothing is broadcast on that connection.
	roleClaimant = "claimant"
)

// link is one control connection and the versions that its peer has or was sent.
type link struct {
	hello          *controlpb.Hello
	intentRevision uint64
	rosterVersion  roster.Version
	resentAt       time.Time
	toRegistrar    bool
}

// isNeighbour reports whether the peer is another balancer on a connection that
// carries broadcasts, not on one to the registrar.
func (l *link) isNeighbour() bool {
	return !l.toRegistrar && l.hello.GetRole() == roleBalancer
}

// isBalancer reports whether the peer is a neighbour, or a claimant at this balancer.
// It is false for the connection that this balancer opened to the registrar.
func (l *link) isBalancer() bool {
	return l.isNeighbour() || l.hello.GetRole() == roleClaimant
}

// isAgent reports whether the peer is an agent.
func (l *link) isAgent() bool {
	return l.hello.GetRole() == roleAgent
}

// agent is one agent that sends its heartbeats to this balancer.
type agent struct {
	conn           ConnID
	member         *controlpb.Member
	vitals         *controlpb.Vitals
	intentRevision uint64
	rosterVersion  uint64
	lastReceived   time.Time
	suspect        bool
}

// pingRecord is the latest ping that the registrar received from one balancer.
type pingRecord struct {
	ping         *controlpb.Ping
	lastReceived time.Time
}
