package packet

import (
	"encoding/binary"

	"github.com/lentilshed/lentilshed/service"
)

// Kind specifies how the receiving instance handles a packet.
type Kind uint8

const (
	// KindForward asks the receiver to find the flow's target.
	KindForward Kind = iota + 1
	// KindDeliver carries a packet of a flow that the receiver holds.
	KindDeliver
)

// MaxHops bounds how many times one packet is passed between agents.
const MaxHops = 8

// Meta is the metadata that instances add to packets they send to each other.
// It is encoded as one Geneve option of 28 bytes.
type Meta struct {
	Kind    Kind
	Hops    uint8
	Sampled bool
	// Service is the numeric ID of the service that the packet belongs to.
	Service uint32
	// Vector is the vector of the table that chose the receiver.
	Vector service.Vector
}

const (
	metaSize    = 24
	sampledFlag = 1
)

// marshal writes the option data; b holds metaSize bytes.
func (m *Meta) marshal(b []byte) {
	b[0] = byte(m.Kind)
	b[1] = m.Hops
	b[2] = 0
	b[3] = 0
	if m.Sampled {
		b[2] = sampledFlag
	}
	binary.BigEndian.PutUint32(b[4:], m.Service)
	binary.BigEndian.PutUint64(b[8:], m.Vector.Intent)
	binary.BigEndian.PutUint64(b[16:], m.Vector.Roster)
}

// unmarshal reads the option data and reports whether it is well formed.
func (m *Meta) unmarshal(b []byte) bool {
	if len(b) != metaSize {
		return false
	}
	m.Kind = Kind(b[0])
	m.Hops = b[1]
	m.Sampled = b[2]&sampledFlag != 0
	m.Service = binary.BigEndian.Uint32(b[4:])
	m.Vector.Intent = binary.BigEndian.Uint64(b[8:])
	m.Vector.Roster = binary.BigEndian.Uint64(b[16:])
	return m.Kind >= KindForward && m.Kind <= KindDeliver
}
