package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

const (
	// syncTimeout bounds how long a new flow waits for peers to say what they
	// hold; a crashed peer has left the table by then. Other packets wait as
	// long as a peer may hold their flow.
	syncTimeout = 3 * time.Second
	// syncRequestDelay is the time that peers have to speak up by themselves.
	syncRequestDelay = 50 * time.Millisecond
	// syncRetry is the time after which an unanswered request is repeated.
	syncRetry = 300 * time.Millisecond
	// reservationTimeout ends a reservation whose flow never came.
	reservationTimeout = 10 * time.Second
	// disputeTimeout is the time that two targets have to say which of them
	// holds a flow.
	disputeTimeout = 2 * time.Second
	// closeLinger keeps a closed flow known, so that late packets reach the
	// stack that can answer them.
	closeLinger = 10 * time.Second
	// holdTimeout drops a held packet; the caller's TCP repeats it.
	holdTimeout = time.Second
	// maxHeldPackets bounds the packets held at a time.
	maxHeldPackets = 1024
	// maxOffers bounds the peers asked to take one new flow.
	maxOffers = 3
	// localPlacementMargin is how far above the mean use of the service a home still
	// takes new flows itself.
	localPlacementMargin = 0.02
	// maxLoadReportInterval is the longest time between two load reports to peers, and
	// loadPause the least.
	maxLoadReportInterval = 5 * time.Second
	minLoadReportInterval = 200 * time.Millisecond
	// loadReportStep is the change of use that is reported at once.
	loadReportStep = 0.02
)

// Config says which target an agent serves.
type Config struct {
	Self        target.ID
	Incarnation target.Incarnation
	Service     string
	Domain      string
	Gate        target.GateConfig
	// Seed feeds the choice among peers.
	Seed uint64
}
