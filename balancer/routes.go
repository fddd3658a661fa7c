package balancer

import (
	"encoding/binary"
	"net/netip"

	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/service"
)

// Routes is the immutable snapshot that packets are routed by.
type Routes struct {
	tables map[addressKey]*service.Table
	// stopped is set while this balancer cannot know what is in force.
	stopped bool
}

// addressKey is an IPv4 address and port in one word, cheap to hash.
type addressKey uint64

// Hop is where a packet goes next.
type Hop struct {
	Address netip.AddrPort
	Meta    packet.Meta
}

// NewRoutes returns routes over tables; stopped routes drop everything.
func NewRoutes(tables map[string]*service.Table, stopped bool) *Routes {
	r := &Routes{
		tables:  make(map[addressKey]*service.Table, len(tables)),
		stopped: stopped,
	}
	for _, t := range tables {
		if t != nil {
			r.tables[newAddressKey(t.Address)] = t
		}
	}
	return r
}

// Route returns the next hop of a packet from the fabric, or why there is none.
// It does not allocate.
func (r *Routes) Route(i *packet.Inner) (Hop, packet.Reason) {
	if r.stopped {
		return Hop{}, packet.ReasonFenced
	}
	t := r.tables[newAddressKey(i.Destination)]
	if t == nil {
		return Hop{}, packet.ReasonNoService
	}
	h, ok := t.HomeOf(i.Key)
	if !ok {
		return Hop{}, packet.ReasonNoTarget
	}
	return Hop{
		Address: h.PacketAddress,
		Meta: packet.Meta{
			Kind:    packet.KindForward,
			Service: t.ID,
			Vector:  t.Vector,
		},
	}, packet.ReasonNone
}

// SendsTo reports whether any table may send to a failure domain. It must be
// false for a domain that is out.
func (r *Routes) SendsTo(domain string) bool {
	if r.stopped {
		return false
	}
	for _, t := range r.tables {
		for i := range t.Targets {
			if x := &t.Targets[i]; x.Domain == domain && x.HomeEligible && !x.OutOfService {
				return true
			}
		}
	}
	return false
}

func newAddressKey(a netip.AddrPort) addressKey {
	b := a.Addr().As4()
	return addressKey(binary.BigEndian.Uint32(b[:]))<<16 | addressKey(a.Port())
}
