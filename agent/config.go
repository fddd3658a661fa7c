package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/target"
)

const (
	// syncTimeout bounds how long a new flow waits until the peers have listed the
	// flows they hold; a crashed peer has left the table by then. Packets that do
	// not open a flow are held or dropped as long as a peer may hold their flow.
	syncTimeout = 3 * time.Second
	// syncRequestDelay is the time that peers have to send their lists before they
	// are asked.
	syncRequestDelay = 50 * time.Millisecond
	// syncRetryInterval is the time after which a request without a reply is repeated.
	syncRetryInterval = 300 * time.Millisecond
	// reservationTimeout ends a reservation whose first packet never arrived.
	reservationTimeout = 10 * time.Second
	// disputeTimeout is the time that two targets have to show which of them holds
	// a flow.
	disputeTimeout = 2 * time.Second
	// closeLinger is how long a closed flow is kept, so that late packets reach
	// the TCP stack, which can answer them.
	closeLinger = 10 * time.Second
	// holdTimeout is how long a packet is held before it is dropped; the caller's
	// TCP retransmits it.
	holdTimeout = time.Second
	// maxHeldPackets bounds the number of packets held at a time.
	maxHeldPackets = 1024
	// maxOffers bounds the number of peers that are asked to admit one new flow.
	maxOffers = 3
	// localPlacementMargin is how far the home's utilisation may exceed the mean
	// of the service while the home still takes new flows itself.
	localPlacementMargin = 0.02
	// maxLoadReportInterval is the longest time between two load reports to peers,
	// minLoadReportInterval the shortest.
	maxLoadReportInterval = 5 * time.Second
	minLoadReportInterval = 200 * time.Millisecond
	// loadReportStep is the change of utilisation that is reported without waiting
	// for maxLoadReportInterval. The limit is compared with the same step,
	// relative to its last value.
	loadReportStep = 0.02
)

// Config describes the target that an agent serves.
type Config struct {
	Self        target.ID
	Incarnation target.Incarnation
	Service     string
	Domain      string
	Gate        target.GateConfig
	// Seed seeds the random choice among peers.
	Seed uint64
}
