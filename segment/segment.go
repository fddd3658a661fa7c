// Package segment describes the TCP segments of flows that callers and backend servers
// terminate. Decoding them from packets is left to other packages.
package segment

import (
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

// Segment has the fields of one packet of a flow that decisions depend on.
type Segment struct {
	// Tuple identifies the flow; it is the same for both directions.
	Tuple flow.Tuple
	Flags Flags
	// Sequence and Ack are TCP sequence numbers.
	Sequence uint32
	Ack      uint32
	// Length is the number of payload bytes.
	Length uint16
	// Copies is the number of earlier copies of an initial segment; it is zero for others.
	Copies uint8
}

// copyAges are the times after the first copy of an initial segment at which a caller sends
// the next ones.
var copyAges = [...]time.Duration{
	0,
	200 * time.Millisecond,
	600 * time.Millisecond,
}

// Age returns the time since the caller has sent the first copy of an initial segment.
func (s Segment) Age() time.Duration {
	return copyAges[min(int(s.Copies), len(copyAges)-1)]
}

// Flags is a set of flags of a segment.
type Flags uint8

// The flags have TCP's meaning, except Undeliverable: it marks a packet that the
// backend server returns because it does not hold the flow or cannot accept a new one.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
	Undeliverable
)

// Has reports whether all flags of f are set.
func (s Segment) Has(f Flags) bool {
	return s.Flags&f == f
}

// Initial reports whether the segment is the first one of a flow, with SYN alone. A
// returned one, with Undeliverable, is still initial.
func (s Segment) Initial() bool {
	return s.Flags&(Syn|Ack|Fin|Rst) == Syn
}

// SynAck reports whether the segment accepts a new flow, with SYN and ACK.
func (s Segment) SynAck() bool {
	return s.Has(Syn | Ack)
}

// Before reports whether sequence number a is before b, modulo 2^32.
func Before(a, b uint32) bool {
	return int32(a-b) < 0
}

// After reports whether sequence number a is after b, modulo 2^32.
func After(a, b uint32) bool {
	return int32(a-b) > 0
}

// AfterWithin reports whether sequence number a is at least one and at most limit bytes
// after b, modulo 2^32.
func AfterWithin(a, b, limit uint32) bool {
	d := a - b
	return d > 0 && d <= limit
}
