package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagRst     = 1
	flagSyn     = 4
	flagBounced = 8
	flagAck     = 32
	flagFin     = 64
)

const headerSize = 32

// packet is one packet of a flow, as its sender wrote it.
type packet struct {
	flags        byte
	seq, ack     uint32
	src, dst     netip.Addr
	sport, dport uint16
	sum          uint32
	data         []byte
}

func (p packet) has(f byte) bool { return p.flags&f != 0 }

func (p packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint32(b[6:], p.seq)
	binary.LittleEndian.PutUint32(b[10:], p.ack)
	binary.LittleEndian.PutUint32(b[14:], number(p.src))
	binary.LittleEndian.PutUint32(b[18:], number(p.dst))
	binary.LittleEndian.PutUint16(b[22:], p.dport)
	binary.LittleEndian.PutUint16(b[24:], p.sport)
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	copy(b[headerSize:], p.data)
	binary.LittleEndian.PutUint32(b[26:], checksum(b))
	return b
}

func decodePacket(b []byte) (packet, bool) {
	if len(b) < headerSize {
		return packet{}, false
	}
	return packet{
		flags: b[0],
		seq:   binary.LittleEndian.Uint32(b[6:]),
		ack:   binary.LittleEndian.Uint32(b[10:]),
		src:   address(binary.LittleEndian.Uint32(b[14:])),
		dst:   address(binary.LittleEndian.Uint32(b[18:])),
		dport: binary.LittleEndian.Uint16(b[22:]),
		sport: binary.LittleEndian.Uint16(b[24:]),
		sum:   binary.LittleEndian.Uint32(b[26:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}, true
}

// intact reports whether a packet is as its sender wrote it.
func intact(b []byte) bool {
	return binary.LittleEndian.Uint32(b[26:]) == checksum(b)
}

// checksum is keyed. It leaves out the flag of returned packets, the padding and the echo.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("stand-in key"))
	_, _ = h.Write([]byte{b[0] &^ flagBounced})
	_, _ = h.Write(b[6:26])
	_, _ = h.Write(b[30:])
	return h.Sum32() | 1
}

// Addresses are written with the lowest byte first: 100.64.0.7 is 07 00 40 64.
func number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func address(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
