package agent

import "github.com/lentilshed/lentilshed/packet"

// Stats counts what a model has decided.
type Stats struct {
	Admitted          uint64
	Placed            uint64
	Refused           uint64
	ResetUnknown      uint64
	ResetOutOfService uint64
	// EndedOutOfService and EndedDeadline count local flows that were given up.
	EndedOutOfService uint64
	EndedDeadline     uint64
	// Violations counts broken invariants. It stays zero.
	Violations uint64
	// RefusedWithRoom counts refusals while a peer seemed to have room.
	RefusedWithRoom uint64
	Dropped         [packet.ReasonCount]uint64
	FlowKeysSent    uint64
}
