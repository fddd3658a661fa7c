// Package flow identifies TCP flows and maps them to buckets.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Bucket is the index of a flow's hash bucket within its service.
type Bucket uint32

// Key identifies one flow of a service by the caller's address and port; the
// service determines the other endpoint. The zero Key identifies no flow.
//
//	k := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40112"))
type Key struct {
	Source uint32
	Port   uint16
}

// NewKey returns the key of the flow that a caller opened from an IPv4
// address and port. It returns the zero Key for an IPv6 address.
func NewKey(a netip.AddrPort) Key {
	if !a.Addr().Is4() {
		return Key{}
	}
	b := a.Addr().As4()
	return Key{
		Source: binary.BigEndian.Uint32(b[:]),
		Port:   a.Port(),
	}
}

// AddrPort returns the caller's address and port.
func (k Key) AddrPort() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], k.Source)
	return netip.AddrPortFrom(netip.AddrFrom4(b), k.Port)
}

// Bucket returns the bucket of the flow among count buckets of a service.
// Count must be a power of two.
func (k Key) Bucket(service, count uint32) Bucket {
	return Bucket(k.hash(service)) & Bucket(count-1)
}

// TraceID returns the trace ID of the flow, which is the same on every
// instance.
func (k Key) TraceID(service uint32) uint64 {
	return k.hash(service ^ traceSalt)
}

// String formats the key as the caller's address and port.
func (k Key) String() string {
	return fmt.Sprint(k.AddrPort())
}

const traceSalt = 0x7ace

func (k Key) hash(service uint32) uint64 {
	var b [10]byte
	binary.LittleEndian.PutUint32(b[0:], k.Source)
	binary.LittleEndian.PutUint16(b[4:], k.Port)
	binary.LittleEndian.PutUint32(b[6:], service)
	return xxh3.Hash(b[:])
}
