// Package relay encodes and decodes the datagrams between balancers and agents, and
// among balancers: a caller's packet after a short header, or a message of the control
// protocol.
package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/routing"
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
	// KindDeliverClass is a caller's packet for a target, with the class of the requests of
	// its route.
	KindDeliverClass Kind = 0xd4
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
	// Class is the class of the route's requests; its times have a precision of a
	// millisecond.
	Class routing.Class
}

const (
	deliverHeaderSize = 5
	// classHeaderSize is the size of the header of a KindDeliverClass datagram: service,
	// priority, objective and timeout.
	classHeaderSize  = deliverHeaderSize + 5
	rejectHeaderSize = 2
)

// AppendDeliver appends a packet for a target to b.
func AppendDeliver(b []byte, d DeliverHeader, packet []byte) []byte {
	b = append(b, byte(KindDeliver))
	b = binary.LittleEndian.AppendUint32(b, uint32(d.Service))
	return append(b, packet...)
}

// AppendDeliverClass appends a packet for a target, with the class of its route, to b.
func AppendDeliverClass(b []byte, d DeliverHeader, packet []byte) []byte {
	b = append(b, byte(KindDeliverClass))
	b = binary.LittleEndian.AppendUint32(b, uint32(d.Service))
	b = append(b, byte(d.Class.Priority))
	b = binary.LittleEndian.AppendUint16(b, classMilliseconds(d.Class.Objective))
	b = binary.LittleEndian.AppendUint16(b, classMilliseconds(d.Class.Timeout))
	return append(b, packet...)
}

func classMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// ParseDeliver returns the header and the packet, which aliases b, of a KindDeliver or
// KindDeliverClass datagram. Without a class, the class is that of routes that declare none.
func ParseDeliver(b []byte) (DeliverHeader, []byte, error) {
	if len(b) >= classHeaderSize && Kind(b[0]) == KindDeliverClass {
		return DeliverHeader{
			Service: ServiceID(binary.LittleEndian.Uint32(b[1:])),
			Class: routing.Class{
				Priority:  routing.Priority(b[5]),
				Objective: time.Duration(binary.LittleEndian.Uint16(b[6:])) * time.Millisecond,
				Timeout:   time.Duration(binary.LittleEndian.Uint16(b[8:])) * time.Millisecond,
			},
		}, b[classHeaderSize:], nil
	}
	if len(b) < deliverHeaderSize || Kind(b[0]) != KindDeliver {
		return DeliverHeader{}, nil, ErrMalformed
	}
	return DeliverHeader{
		Service: ServiceID(binary.LittleEndian.Uint32(b[1:])),
		Class: routing.Class{
			Priority: routing.DefaultPriority,
		},
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
