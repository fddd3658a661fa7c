// Package segment describes the packets of flows whose ends are outside the
// system. Their form on the wire is known to whoever decodes them.
package segment

import "github.com/lentilshed/lentilshed/flow"

// Segment is what the system reads of one packet of a flow.
type Segment struct {
	// Tuple names the flow; it is the same for both directions.
	Tuple flow.Tuple
	Flags Flags
	// Sequence and Ack count bytes as TCP does.
	Sequence uint32
	Ack      uint32
	// Length is the number of data bytes.
	Length uint16
}

// Flags are the bits of a segment.
type Flags uint8

// The flags have TCP's meaning, except Undeliverable: the backend server does
// not hold the flow, or cannot take a new one, and returns the packet.
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

// Initial reports whether the segment asks to open a flow.
func (s Segment) Initial() bool {
	return s.Flags&(Syn|Ack|Fin|Rst) == Syn
}

// SynAck reports whether the segment accepts a new flow.
func (s Segment) SynAck() bool {
	return s.Has(Syn | Ack)
}

// After reports whether sequence number a is after b, at most limit bytes.
func After(a, b, limit uint32) bool {
	d := a - b
	return d > 0 && d <= limit
}
