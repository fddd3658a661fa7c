package balancer

import (
	"time"

	"github.com/lentilshed/lentilshed/lease"
)

const (
	// heartbeatInterval is the time between two heartbeats of the registrar.
	heartbeatInterval = time.Second
	// minPingInterval is the least time between two pings to the registrar. The
	// interval is at least pingIntervalPerBalancer for each other balancer of the
	// region, so that the registrar's load is bounded. Neighbours notice a lost
	// balancer sooner.
	minPingInterval         = time.Second
	pingIntervalPerBalancer = 50 * time.Millisecond
	// maxMissedPings is the number of ping intervals without a ping after which
	// the registrar considers a balancer lost.
	maxMissedPings = 3
	// lostReportInterval is how long a neighbour is unreachable before it is
	// reported to the registrar, and the time between two such reports.
	lostReportInterval = time.Second
	// suspectTimeout is the time without a heartbeat after which a target is
	// suspect and no longer the home of any bucket.
	suspectTimeout = time.Second
	// closedSuspectTimeout is the most that is left of suspectTimeout once the
	// connection of the target's agent has closed.
	closedSuspectTimeout = 400 * time.Millisecond
	// lapseTimeout is the time without a heartbeat after which a target has
	// lapsed: its flows count as lost, and their callers get resets.
	lapseTimeout = 4 * time.Second
	// resendInterval is the least time between two repeats of deltas to an agent
	// that has not announced that it applied them.
	resendInterval = time.Second
	// isolationTimeout is how long a balancer without a connection to the others that
	// it knows of goes on sending after the last heartbeat of the registrar or response
	// to a watch. After that it cannot know which failure domains are out of service.
	isolationTimeout = 4 * time.Second
	// startupDelay is how long a new balancer waits for a registrar's heartbeat
	// before it contends for the lease.
	startupDelay = 500 * time.Millisecond
	// contendDelayPerRank is the delay that a contender for the lease adds for
	// each balancer of a lower rank.
	contendDelayPerRank = 300 * time.Millisecond
	// standbyWatchers is the number of balancers besides the registrar that watch
	// the platform, so that accepted changes still arrive when the registrar fails.
	standbyWatchers = 2
	// neighbourCount is the highest number of seeds that a balancer dials.
	// neighbourOffsets selects at most as many neighbours.
	neighbourCount = 3
)

// The lease of the registrar: a holder renews it several times within the TTL; a
// contender reads it after missing two heartbeats. The times are short because an
// unnecessary take-over costs no more than a new term.
const (
	LeaseTTL            = 1500 * time.Millisecond
	LeaseRenewInterval  = 500 * time.Millisecond
	LeaseSilenceTimeout = 2200 * time.Millisecond
)

// Config holds the identity, addresses and seeds of one balancer.
type Config struct {
	Name           string
	Region         string
	Domain         string
	Incarnation    uint64
	PacketAddress  string
	ControlAddress string
	// Seeds are control addresses of balancers. The first neighbourCount of them are
	// dialed while the roster lists no other balancer.
	Seeds []string
	Lease lease.Config
}
