package packet

// Reason says why a packet was dropped. Each reason has a counter.
type Reason uint8

const (
	// ReasonNone means that the packet was not dropped.
	ReasonNone Reason = iota
	// ReasonTruncated is a packet shorter than its headers say.
	ReasonTruncated
	// ReasonOversized is a packet longer than MaxSize.
	ReasonOversized
	// ReasonMalformed is a header that breaks its format.
	ReasonMalformed
	// ReasonUnsupportedProtocol is a payload other than IPv4 with TCP.
	ReasonUnsupportedProtocol
	// ReasonNoService is a destination address that no service has.
	ReasonNoService
	// ReasonWrongService is a packet for a service that this agent lacks.
	ReasonWrongService
	// ReasonNoTarget is a service without a usable target.
	ReasonNoTarget
	// ReasonOutOfService is a packet whose next hop was taken out.
	ReasonOutOfService
	// ReasonHopLimit is a packet that was passed on too often.
	ReasonHopLimit
	// ReasonUnsynced is a packet of an unknown flow that a peer may hold.
	ReasonUnsynced
	// ReasonQueueFull is a packet that found its queue full.
	ReasonQueueFull
	// ReasonFenced is a packet at an instance that has lost its place.
	ReasonFenced
	// ReasonSendFailed is a packet that the socket did not take.
	ReasonSendFailed
	reasonCount
)

// ReasonCount is the number of reasons, for arrays indexed by Reason.
const ReasonCount = int(reasonCount)

// String returns the name used in metrics.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"none", "truncated", "oversized", "malformed", "foreign", "no_service", "wrong_service",
		"no_target", "domain_out", "hops", "unsynced", "queue_full", "fenced", "send",
	}
	if int(r) >= ReasonCount {
		return "unknown"
	}
	return names[r]
}
