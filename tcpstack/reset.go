package tcpstack

import (
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

const (
	resetSize = header.IPv4MinimumSize + header.TCPMinimumSize
	resetTTL  = 64
)

// Reset returns the IPv4 packet that resets the flow of a received packet, as
// RFC 9293, section 3.5.2, specifies. The packet b must have passed
// packet.ParseInner.
func Reset(b []byte) []byte {
	in := header.IPv4(b)
	t := header.TCP(in.Payload())
	out := make([]byte, resetSize)
	header.IPv4(out).Encode(&header.IPv4Fields{
		TotalLength: resetSize,
		TTL:         resetTTL,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     in.DestinationAddress(),
		DstAddr:     in.SourceAddress(),
	})
	header.IPv4(out).SetChecksum(^header.IPv4(out).CalculateChecksum())
	r := header.TCP(out[header.IPv4MinimumSize:])
	r.Encode(resetFields(t))
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, in.DestinationAddress(), in.SourceAddress(), header.TCPMinimumSize)
	r.SetChecksum(^checksum.Checksum(r, sum))
	return out
}

func resetFields(t header.TCP) *header.TCPFields {
	f := &header.TCPFields{
		SrcPort:    t.DestinationPort(),
		DstPort:    t.SourcePort(),
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	}
	if t.Flags().Contains(header.TCPFlagAck) {
		f.SeqNum = t.AckNumber()
		return f
	}
	f.Flags |= header.TCPFlagAck
	f.AckNum = t.SequenceNumber() + segmentLength(t)
	return f
}

// segmentLength returns the number of sequence numbers that a segment occupies:
// its payload bytes and its SYN and FIN flags.
func segmentLength(t header.TCP) uint32 {
	n := uint32(len(t.Payload()))
	if t.Flags().Contains(header.TCPFlagSyn) {
		n++
	}
	if t.Flags().Contains(header.TCPFlagFin) {
		n++
	}
	return n
}
