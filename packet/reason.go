package packet

// Reason is why a packet was dropped. Each reason has a counter.
type Reason uint8

const (
	// ReasonNone means that the packet was not dropped.
	ReasonNone Reason = iota
	// ReasonTruncated is a packet shorter than its headers, or than they say.
	ReasonTruncated
	// ReasonOversized is a packet whose datagram is longer than MaxSize.
	ReasonOversized
	// ReasonMalformed is a packet with an invalid header, without the expected
	// metadata, or a fragment.
	ReasonMalformed
	// ReasonUnsupportedProtocol is a payload other than IPv4 with TCP.
	ReasonUnsupportedProtocol
	// ReasonNoService is a packet whose destination address belongs to no service.
	ReasonNoService
	// ReasonWrongService is a packet for a service that this agent does not serve.
	ReasonWrongService
	// ReasonNoTarget is a packet for a service without a usable target, or for a
	// target that is no longer in the table.
	ReasonNoTarget
	// ReasonOutOfService is a packet received by or addressed to an instance in a
	// failure domain that is out of service.
	ReasonOutOfService
	// ReasonHopLimit is a packet that passed between agents more than MaxHops times.
	ReasonHopLimit
	// ReasonUnsynced is a packet of a flow that the agent does not hold and must not
	// reset: a peer may hold the flow, or the packet is a reset itself.
	ReasonUnsynced
	// ReasonQueueFull is a packet for which a queue had no room.
	ReasonQueueFull
	// ReasonFenced is a packet at an instance that is fenced by a newer
	// incarnation, is isolated or has no routing table yet.
	ReasonFenced
	// ReasonSendFailed is a packet that could not be written to the socket.
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
