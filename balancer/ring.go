package balancer

import (
	"cmp"
	"slices"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/zeebo/xxh3"
)

// ring is the other living balancers in the order of their hashes, starting
// after this one. It is made anew only when the roster has changed.
type ring struct {
	version roster.Version
	others  []place
}

// place is a balancer on the ring.
type place struct {
	name    string
	address string
	hash    uint64
}

func (r *ring) refresh(m *Model) {
	if r.version == m.roster.Version {
		return
	}
	r.version = m.roster.Version
	self := xxh3.HashString(m.config.Name)
	r.others = r.others[:0]
	for _, x := range m.roster.Service(roster.InstanceService) {
		if x.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || x.GetTarget() == m.config.Name {
			continue
		}
		r.others = append(r.others, place{
			name:    x.GetTarget(),
			address: x.GetControlAddress(),
			hash:    xxh3.HashString(x.GetTarget()),
		})
	}
	slices.SortFunc(r.others, func(a, b place) int {
		return cmp.Compare(a.hash-self, b.hash-self)
	})
}
