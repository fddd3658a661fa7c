package relay

import (
	"math"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/flow"
)

// EncodeFlow returns the protobuf message for a flow and its caller's newest
// acknowledgement.
func EncodeFlow(t flow.Tuple, ack uint32) *controlpb.FlowTuple {
	return &controlpb.FlowTuple{
		Caller:      t.Caller,
		CallerPort:  uint32(t.CallerPort),
		Address:     t.Address,
		AddressPort: uint32(t.AddressPort),
		Ack:         ack,
	}
}

// EncodeFlows returns the protobuf messages for flows, without acknowledgements.
func EncodeFlows(l []flow.Tuple) []*controlpb.FlowTuple {
	x := make([]*controlpb.FlowTuple, 0, len(l))
	for _, t := range l {
		x = append(x, EncodeFlow(t, 0))
	}
	return x
}

// DecodeFlow returns the flow of a protobuf message, or false if a port is out of range.
func DecodeFlow(x *controlpb.FlowTuple) (flow.Tuple, bool) {
	if x.GetCallerPort() > math.MaxUint16 || x.GetAddressPort() > math.MaxUint16 {
		return flow.Tuple{}, false
	}
	return flow.Tuple{
		Caller:      x.GetCaller(),
		CallerPort:  uint16(x.GetCallerPort()),
		Address:     x.GetAddress(),
		AddressPort: uint16(x.GetAddressPort()),
	}, true
}

// DecodeFlows returns the flows of protobuf messages. It leaves out those that are malformed.
func DecodeFlows(l []*controlpb.FlowTuple) []flow.Tuple {
	x := make([]flow.Tuple, 0, len(l))
	for _, f := range l {
		if t, ok := DecodeFlow(f); ok {
			x = append(x, t)
		}
	}
	return x
}
