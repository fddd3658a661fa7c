// Package packet encodes and decodes packets as they are sent between the
// fabric and the instances: IPv4 with TCP inside Geneve (RFC 8926) over UDP. It
// is the only package that depends on this format.
package packet

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxSize is the largest UDP payload that is accepted, in bytes.
const MaxSize = 9000

const (
	headerSize = 8
	// maxOptionsSize is the largest accepted size of the Geneve options, in bytes.
	// It keeps the codec's offsets, which are one byte wide, from overflowing.
	maxOptionsSize  = 64
	metaOptionClass = 0x0104
	metaOptionType  = 0x80
)

// Codec decodes and encodes packets without allocating on the path from the
// fabric. A Codec belongs to one goroutine.
//
//	c := packet.NewCodec()
//	payload, reason := c.DecodePlain(datagram)
type Codec struct {
	in     layers.Geneve
	out    layers.Geneve
	option layers.GeneveOption
	data   [metaSize]byte
	buffer gopacket.SerializeBuffer
}

// NewCodec returns a codec with its own buffers.
func NewCodec() *Codec {
	c := &Codec{
		buffer: gopacket.NewSerializeBufferExpectedSize(headerSize+4+metaSize, MaxSize),
	}
	c.option = layers.GeneveOption{
		Class: metaOptionClass,
		Type:  metaOptionType,
		Data:  c.data[:],
	}
	c.out = layers.Geneve{
		CriticalOption: true,
		Protocol:       layers.EthernetTypeIPv4,
		Options:        []*layers.GeneveOption{&c.option},
	}
	return c
}

// DecodePlain returns the inner packet of a datagram from the fabric. The
// result aliases b.
func (c *Codec) DecodePlain(b []byte) ([]byte, Reason) {
	if r := checkHeader(b); r != ReasonNone {
		return nil, r
	}
	if err := c.in.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return nil, ReasonTruncated
	}
	if c.in.Version != 0 {
		return nil, ReasonMalformed
	}
	if c.in.Protocol != layers.EthernetTypeIPv4 {
		return nil, ReasonUnsupportedProtocol
	}
	return c.in.Payload, ReasonNone
}

// Decode returns the inner packet and the metadata of a datagram from another
// instance. The result aliases b.
func (c *Codec) Decode(b []byte) (Meta, []byte, Reason) {
	p, r := c.DecodePlain(b)
	if r != ReasonNone {
		return Meta{}, nil, r
	}
	var m Meta
	for _, o := range c.in.Options {
		if o.Class == metaOptionClass && o.Type == metaOptionType && m.unmarshal(o.Data) {
			return m, p, ReasonNone
		}
	}
	return Meta{}, nil, ReasonMalformed
}

// Encode wraps an inner packet with metadata. The result is valid until the
// next call.
func (c *Codec) Encode(m *Meta, inner []byte) ([]byte, Reason) {
	m.marshal(c.data[:])
	return c.encode(&c.out, inner)
}

// EncodePlain wraps an inner packet without metadata, which is the format of
// the fabric. The result is valid until the next call.
func (c *Codec) EncodePlain(inner []byte) ([]byte, Reason) {
	g := layers.Geneve{
		Protocol: layers.EthernetTypeIPv4,
	}
	return c.encode(&g, inner)
}

func (c *Codec) encode(g *layers.Geneve, inner []byte) ([]byte, Reason) {
	if len(inner)+headerSize+4+metaSize > MaxSize {
		return nil, ReasonOversized
	}
	if err := c.buffer.Clear(); err != nil {
		return nil, ReasonMalformed
	}
	d, err := c.buffer.AppendBytes(len(inner))
	if err != nil {
		return nil, ReasonMalformed
	}
	copy(d, inner)
	if err := g.SerializeTo(c.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, ReasonMalformed
	}
	return c.buffer.Bytes(), ReasonNone
}

// checkHeader rejects headers that the codec library does not check.
func checkHeader(b []byte) Reason {
	if len(b) < headerSize {
		return ReasonTruncated
	}
	if len(b) > MaxSize {
		return ReasonOversized
	}
	if int(b[0]&0x3f)*4 > maxOptionsSize {
		return ReasonMalformed
	}
	return ReasonNone
}
