package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/lease"
)

const (
	// beatPeriod is the time between two beats of the registrar.
	beatPeriod = time.Second
	// pingPeriod is the least time between two pings to the registrar; each
	// balancer of the region adds pingStep, so that the registrar's load is
	// bounded. Neighbours notice a lost balancer sooner.
	pingPeriod = time.Second
	pingStep   = 50 * time.Millisecond
	// pingsMissed is how many pings the registrar waits for.
	pingsMissed = 3
	// lostPeriod is how long a neighbour is out of reach before it is reported,
	// and the time between two reports.
	lostPeriod = time.Second
	// suspectTimeout is the silence after which a target is home of nothing.
	suspectTimeout = time.Second
	// closedGrace is what is left of it when the target's connection has closed.
	closedGrace = 400 * time.Millisecond
	// announceTimeout is the silence after which a target has lapsed: its flows
	// are taken for dead and their callers are reset.
	announceTimeout = 4 * time.Second
	// resendPeriod is the least time between two repeats of a lost delta.
	resendPeriod = time.Second
	// isolationTimeout is the silence after which a balancer without peers
	// stops sending: it can no longer know which failure domains are out.
	isolationTimeout = 4 * time.Second
	// startGrace is the time that a new balancer listens before it contends.
	startGrace = 500 * time.Millisecond
	// contendStep delays contenders for the lease by their rank.
	contendStep = 300 * time.Millisecond
	// deputies is the number of balancers besides the registrar that watch the
	// platform, so that an accepted change outlives the registrar.
	deputies = 2
	// links is the number of balancers that each balancer dials.
	links = 3
)

// The lease of the registrar: a holder renews several times within the TTL; a
// follower reads it after missing two beats. A needless take-over costs a new
// term and nothing else, so the bounds are short.
const (
	LeaseTTL            = 1500 * time.Millisecond
	LeaseRenewInterval  = 500 * time.Millisecond
	LeaseSilenceTimeout = 2200 * time.Millisecond
)

// Config says who a balancer is and whom it knows at the start.
type Config struct {
	Name           string
	Region         string
	Domain         string
	Incarnation    uint64
	PacketAddress  string
	ControlAddress string
	// Seeds are control addresses of balancers to start from.
	Seeds []string
	Lease lease.Config
}
