package packet

import (
	"net/netip"

	"github.com/lentilshed/lentilshed/flow"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// Inner holds the addresses and flags of one IPv4 packet with TCP.
type Inner struct {
	Key         flow.Key
	Destination netip.AddrPort
	Flags       header.TCPFlags
}

// Initial reports whether the packet opens a flow: it has SYN but not ACK set.
func (i *Inner) Initial() bool {
	return i.Flags.Contains(header.TCPFlagSyn) && !i.Flags.Contains(header.TCPFlagAck)
}

// Reset reports whether the packet is a reset; a reset is never answered.
func (i *Inner) Reset() bool {
	return i.Flags.Contains(header.TCPFlagRst)
}

// ParseInner reads the addresses and flags of an IPv4 packet with TCP. It does
// not retain b.
func ParseInner(b []byte) (Inner, Reason) {
	ip := header.IPv4(b)
	if len(b) < header.IPv4MinimumSize {
		return Inner{}, ReasonTruncated
	}
	if b[0]>>4 != header.IPv4Version || ip.Protocol() != uint8(header.TCPProtocolNumber) {
		return Inner{}, ReasonUnsupportedProtocol
	}
	if int(ip.TotalLength()) > len(b) {
		return Inner{}, ReasonTruncated
	}
	if !ip.IsValid(len(b)) || ip.More() || ip.FragmentOffset() != 0 {
		return Inner{}, ReasonMalformed
	}
	t := header.TCP(ip.Payload())
	if len(t) < header.TCPMinimumSize {
		return Inner{}, ReasonTruncated
	}
	if o := int(t.DataOffset()); o < header.TCPMinimumSize || o > len(t) {
		return Inner{}, ReasonMalformed
	}
	s := netip.AddrPortFrom(netip.AddrFrom4(ip.SourceAddress().As4()), t.SourcePort())
	d := netip.AddrPortFrom(netip.AddrFrom4(ip.DestinationAddress().As4()), t.DestinationPort())
	return Inner{
		Key:         flow.NewKey(s),
		Destination: d,
		Flags:       t.Flags(),
	}, ReasonNone
}
