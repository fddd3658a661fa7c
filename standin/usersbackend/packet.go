package usersbackend

import (
	"encoding/binary"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

// flagBits maps the flags of a segment to the bits of the header's first byte.
var flagBits = map[segment.Flags]byte{
	segment.Syn: 4,
	segment.Ack: 32,
	segment.Fin: 64,
	segment.Rst: 1,
}

// Encode returns the header of a packet, which is sent by the backend server of the
// flow if fromServer is set, else by its caller. It has the length of the data but
// not the data, and no checksum if the packet is a reset.
func Encode(p segment.Segment, fromServer bool) []byte {
	b := make([]byte, HeaderSize)
	for f, bit := range flagBits {
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
		binary.LittleEndian.PutUint32(b[checksumOffset:], checksum(b))
	}
	return b
}

// Intact reports whether a packet arrived as its sender encoded it. A reset that the
// load balancer itself creates has no checksum.
func Intact(b []byte) bool {
	if len(b) < HeaderSize {
		return false
	}
	got := binary.LittleEndian.Uint32(b[checksumOffset:])
	return got == checksum(b) || (got == 0 && b[0] == flagBits[segment.Rst] && len(b) == HeaderSize)
}

// checksum covers all header fields except the checksum and those that the load
// balancer or a returning backend server may write, and is never 0.
func checksum(b []byte) uint32 {
	h := uint64(checksumKey)
	for i, x := range b[:HeaderSize] {
		switch {
		case i >= 1 && i < 6, i >= checksumOffset && i < checksumOffset+4:
			continue
		case i == 0:
			x &^= returnedBit
		}
		h = (h ^ uint64(x)) * 0x100000001b3
	}
	return uint32(h) | 1
}

// Decode decodes the header of a packet that a backend server sent to a caller. It
// panics if b is shorter than the header, 32 bytes.
func Decode(b []byte) segment.Segment {
	p := DecodeFromCaller(b)
	t := p.Tuple
	p.Tuple = flow.Tuple{
		Caller:      t.Address,
		CallerPort:  t.AddressPort,
		Address:     t.Caller,
		AddressPort: t.CallerPort,
	}
	return p
}

// DecodeFromCaller decodes the header of a packet that a caller sent. It panics if b is shorter
// than the header.
func DecodeFromCaller(b []byte) segment.Segment {
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
	for f, bit := range flagBits {
		if b[0]&bit != 0 {
			p.Flags |= f
		}
	}
	return p
}
