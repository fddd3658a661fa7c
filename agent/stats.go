package agent

import "github.com/lentilshed/lentilshed/packet"

// Stats counts the decisions of a model.
type Stats struct {
	Admitted          uint64
	Placed            uint64
	Refused           uint64
	ResetUnknown      uint64
	ResetOutOfService uint64
	// EndedOutOfService counts local flows that were aborted because the target's
	// failure domain went out of service or the target was fenced, EndedDeadline
	// those that a drain's deadline ended.
	EndedOutOfService uint64
	EndedDeadline     uint64
	// Violations counts broken invariants. It must stay zero.
	Violations uint64
	// RefusedWithRoom counts refusals while a peer seemed to have room.
	RefusedWithRoom uint64
	Dropped         [packet.ReasonCount]uint64
	FlowKeysSent    uint64
}
