package usersbackend

import (
	"encoding/binary"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// bits are the flags of a header, by the flags of a segment.
var bits = map[segment.Flags]byte{
	segment.Syn: 4,
	segment.Ack: 32,
	segment.Fin: 64,
	segment.Rst: 1,
}

// Encode writes the header of a packet, from the caller of its flow or from the
// backend server. The data is not written, only its length.
func Encode(p segment.Segment, fromServer bool) []byte {
	b := make([]byte, headerSize)
	for f, bit := range bits {
		if p.Has(f) {
			b[0] |= bit
		}
	}
	source, dest := p.Tuple.Caller, p.Tuple.Address
	sourcePort, destPort := p.Tuple.CallerPort, p.Tuple.AddressPort
	if fromServer {
		source, dest = dest, source
		sourcePort, destPort = destPort, sourcePort
	}
	binary.LittleEndian.PutUint32(b[6:], p.Sequence)
	binary.LittleEndian.PutUint32(b[10:], p.Ack)
	binary.LittleEndian.PutUint32(b[14:], source)
	binary.LittleEndian.PutUint32(b[18:], dest)
	binary.LittleEndian.PutUint16(b[22:], destPort)
	binary.LittleEndian.PutUint16(b[24:], sourcePort)
	binary.LittleEndian.PutUint16(b[30:], p.Length)
	if !p.Has(segment.Rst) {
		binary.LittleEndian.PutUint32(b[offsetSum:], sum(b))
	}
	return b
}

// Intact reports whether a packet is as its sender wrote it. A reset of the system's
// own has no sum.
func Intact(b []byte) bool {
	if len(b) < headerSize {
		return false
	}
	got := binary.LittleEndian.Uint32(b[offsetSum:])
	return got == sum(b) || (got == 0 && b[0] == bits[segment.Rst] && len(b) == headerSize)
}

// sum covers all fields but those that the system may write.
func sum(b []byte) uint32 {
	h := uint64(sumKey)
	for i, x := range b[:headerSize] {
		switch {
		case i >= 1 && i < 6, i >= offsetSum && i < offsetSum+4:
			continue
		case i == 0:
			x &^= bitReturned
		}
		h = (h ^ uint64(x)) * 0x100000001b3
	}
	return uint32(h) | 1
}

// Decode reads the header of a packet for a caller.
func Decode(b []byte) segment.Segment {
	p := decode(b)
	t := p.Tuple
	p.Tuple = flow.Tuple{
		Caller:      t.Address,
		CallerPort:  t.AddressPort,
		Address:     t.Caller,
		AddressPort: t.CallerPort,
	}
	return p
}

// decode reads the header of a caller's packet.
func decode(b []byte) segment.Segment {
	p := segment.Segment{
		Tuple: flow.Tuple{
			Caller:      binary.LittleEndian.Uint32(b[14:]),
			Address:     binary.LittleEndian.Uint32(b[18:]),
			AddressPort: binary.LittleEndian.Uint16(b[22:]),
			CallerPort:  binary.LittleEndian.Uint16(b[24:]),
		},
		Sequence: binary.LittleEndian.Uint32(b[6:]),
		Ack:      binary.LittleEndian.Uint32(b[10:]),
		Length:   binary.LittleEndian.Uint16(b[30:]),
	}
	for f, bit := range bits {
		if b[0]&bit != 0 {
			p.Flags |= f
		}
	}
	return p
}
