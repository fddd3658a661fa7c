// Package relay encodes and decodes the datagrams between balancers and agents, and
// among balancers: a caller's packet after a short header, or a message of the control
// protocol.
package relay

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"
)

// ErrMalformed is returned for a datagram that does not have the expected format.
var ErrMalformed = errors.New("malformed datagram")

// Kind says what a datagram carries.
type Kind byte

const (
	// KindDeliver is a caller's packet for a target.
	KindDeliver Kind = 0xd1
	// KindReject is a caller's packet that an agent returns to the balancer.
	KindReject Kind = 0xd2
	// KindControl is a message of the control protocol.
	KindControl Kind = 0xd3
)

// ServiceID identifies a service within a datagram.
type ServiceID uint32

// NewServiceID returns the ID of the service with a name, a hash that is the same at
// every instance.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxh3.HashString(name))
}

// DeliverHeader is the header of a packet for a target.
type DeliverHeader struct {
	Service ServiceID
}

const (
	deliverHeaderSize = 5
	rejectHeaderSize  = 2
)

// AppendDeliver appends a packet for a target to b.
func AppendDeliver(b []byte, d DeliverHeader, packet []byte) []byte {
	b = append(b, byte(KindDeliver))
	b = binary.LittleEndian.AppendUint32(b, uint32(d.Service))
	return append(b, packet...)
}

// ParseDeliver returns the header and the packet, which aliases b.
func ParseDeliver(b []byte) (DeliverHeader, []byte, error) {
	if len(b) < deliverHeaderSize || Kind(b[0]) != KindDeliver {
		return DeliverHeader{}, nil, ErrMalformed
	}
	return DeliverHeader{
		Service: ServiceID(binary.LittleEndian.Uint32(b[1:])),
	}, b[deliverHeaderSize:], nil
}

// AppendReject appends a returned packet and the reason of its return to b.
func AppendReject(b []byte, reason uint8, packet []byte) []byte {
	b = append(b, byte(KindReject), reason)
	return append(b, packet...)
}

// ParseReject returns the reason and the packet, which aliases b.
func ParseReject(b []byte) (uint8, []byte, error) {
	if len(b) < rejectHeaderSize || Kind(b[0]) != KindReject {
		return 0, nil, ErrMalformed
	}
	return b[1], b[rejectHeaderSize:], nil
}

// AppendControl appends a message of the control protocol to b.
func AppendControl(b []byte, d *controlpb.Datagram) ([]byte, error) {
	b = append(b, byte(KindControl))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, d)
	return b, errors.Wrap(err, "encode control datagram")
}

// ParseControl returns the message of a control datagram.
func ParseControl(b []byte) (*controlpb.Datagram, error) {
	if len(b) < 1 || Kind(b[0]) != KindControl {
		return nil, ErrMalformed
	}
	d := &controlpb.Datagram{}
	if err := proto.Unmarshal(b[1:], d); err != nil {
		return nil, errors.CombineErrors(ErrMalformed, err)
	}
	return d, nil
}
