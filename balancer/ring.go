package balancer

import (
	"cmp"
	"slices"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/zeebo/xxh3"
)

// ring lists the other balancers that are not gone, in the order of their hashes,
// starting after this one. It is rebuilt only when the roster has changed.
type ring struct {
	version roster.Version
	others  []ringEntry
}

// ringEntry is one balancer on the ring.
type ringEntry struct {
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
	for _, member := range m.roster.Service(roster.InstanceService) {
		if member.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || member.GetTarget() == m.config.Name {
			continue
		}
		r.others = append(r.others, ringEntry{
			name:    member.GetTarget(),
			address: member.GetControlAddress(),
			hash:    xxh3.HashString(member.GetTarget()),
		})
	}
	slices.SortFunc(r.others, func(a, b ringEntry) int {
		return cmp.Compare(a.hash-self, b.hash-self)
	})
}
