package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Tuple identifies one flow by both endpoints: the caller's address and port,
// and the address and port that the caller connected to. Addresses are IPv4 in
// network byte order.
type Tuple struct {
	Caller      uint32
	Address     uint32
	CallerPort  uint16
	AddressPort uint16
}

// Hash returns a hash of the tuple and a salt, which is the same on every
// instance.
func (t Tuple) Hash(salt uint32) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint32(b[0:], t.Caller)
	binary.LittleEndian.PutUint32(b[4:], t.Address)
	binary.LittleEndian.PutUint16(b[8:], t.CallerPort)
	binary.LittleEndian.PutUint16(b[10:], t.AddressPort)
	binary.LittleEndian.PutUint32(b[12:], salt)
	return xxh3.Hash(b[:])
}

// String formats the tuple as "caller>address", which identifies the flow in
// logs.
func (t Tuple) String() string {
	return fmt.Sprintf("%s>%s", AddrPort(t.Caller, t.CallerPort), AddrPort(t.Address, t.AddressPort))
}

// AddrPort combines an IPv4 address in network byte order and a port.
func AddrPort(address uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], address)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// Address returns an IPv4 address in network byte order, or false for IPv6.
func Address(a netip.Addr) (uint32, bool) {
	if !a.Is4() {
		return 0, false
	}
	b := a.As4()
	return binary.BigEndian.Uint32(b[:]), true
}
