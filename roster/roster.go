// Package roster keeps the targets that announced themselves. One registrar
// per region, fenced by its lease term, orders their changes; everybody else
// merges what it hears.
package roster

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
)

// ErrGap marks a delta that starts above the version it was merged into.
var ErrGap = errors.New("delta starts above the held version")

// InstanceService is the service name under which balancers are members.
const InstanceService = "lentilshed"

// Version orders all changes of a roster: the registrar's lease term in the
// upper 32 bits, its sequence number in the lower.
type Version uint64

// NewVersion returns the version of a change.
func NewVersion(term, sequence uint32) Version {
	return Version(uint64(term)<<32 | uint64(sequence))
}

// Term returns the lease term of the registrar that made the change.
func (v Version) Term() uint32 {
	return uint32(v >> 32)
}

// Roster is the set of members at one version. The zero Roster is not usable;
// call NewRoster.
type Roster struct {
	Version Version
	// Origin is the version at which the registrar's term began. Versions of
	// earlier terms above it were made by a registrar that had been replaced.
	Origin  Version
	members map[string]*controlpb.Member
	service map[string]map[string]*controlpb.Member
}

// NewRoster returns an empty roster at version zero.
func NewRoster() *Roster {
	return &Roster{
		members: map[string]*controlpb.Member{},
		service: map[string]map[string]*controlpb.Member{},
	}
}

// Merge applies a delta and returns the services whose members changed. A
// delta at or below the held version changes nothing; one that starts above it
// returns ErrGap.
func (r *Roster) Merge(m *controlpb.Roster) ([]string, error) {
	if Version(m.GetVersion()) <= r.Version {
		return nil, nil
	}
	if Version(m.GetBase()) > r.Version || r.diverged(m) {
		return nil, errors.Wrapf(ErrGap, "base %d, held %d", m.GetBase(), r.Version)
	}
	touched := map[string]bool{}
	if Version(m.GetVersion()).Term() != r.Version.Term() {
		r.touchAll(touched)
	}
	if m.GetBase() == 0 {
		r.clear()
	}
	for _, x := range m.GetMembers() {
		r.Put(x)
		touched[x.GetService()] = true
	}
	r.Version = Version(m.GetVersion())
	r.Origin = Version(m.GetOrigin())
	return slices.Sorted(maps.Keys(touched)), nil
}

// Since returns every member changed after a version, or the whole roster when
// the version is not part of this roster's history. A service limits the result
// to its members and the instances; empty gives all. The order is not fixed.
func (r *Roster) Since(v Version, service string) *controlpb.Roster {
	if !r.descends(v) {
		v = 0
	}
	m := &controlpb.Roster{
		Version: uint64(r.Version),
		Base:    uint64(v),
		Origin:  uint64(r.Origin),
	}
	for _, x := range r.members {
		wanted := service == "" || x.GetService() == service || x.GetService() == InstanceService
		if wanted && Version(x.GetVersion()) > v {
			m.Members = append(m.Members, x)
		}
	}
	return m
}

// Len returns the number of members, gone ones included.
func (r *Roster) Len() int {
	return len(r.members)
}

// descends reports whether a version is part of this roster's history.
func (r *Roster) descends(v Version) bool {
	if v.Term() == r.Version.Term() {
		return true
	}
	return v <= r.Origin && v.Term() == r.Origin.Term()
}

// TermStart is the least version that every table of the current term has.
func (r *Roster) TermStart() Version {
	return NewVersion(r.Version.Term(), 0)
}

// Member returns the member with a target ID, or nil.
func (r *Roster) Member(target string) *controlpb.Member {
	return r.members[target]
}

// Members returns all members in the order of their IDs, gone ones included.
func (r *Roster) Members() []*controlpb.Member {
	return sorted(r.members)
}

// Service returns the members of a service in the order of their IDs, gone
// ones included.
func (r *Roster) Service(name string) []*controlpb.Member {
	return sorted(r.service[name])
}

// Put stores one member as it is; the caller keeps versions rising.
func (r *Roster) Put(x *controlpb.Member) {
	if old := r.members[x.GetTarget()]; old != nil && old.GetService() != x.GetService() {
		delete(r.service[old.GetService()], x.GetTarget())
	}
	r.members[x.GetTarget()] = x
	s := r.service[x.GetService()]
	if s == nil {
		s = map[string]*controlpb.Member{}
		r.service[x.GetService()] = s
	}
	s[x.GetTarget()] = x
}

// diverged reports whether this roster holds changes that the registrar of a
// newer term never saw, so that a delta does not fit.
func (r *Roster) diverged(m *controlpb.Roster) bool {
	if m.GetBase() == 0 || Version(m.GetVersion()).Term() == r.Version.Term() {
		return false
	}
	return r.Version > Version(m.GetOrigin())
}

func (r *Roster) touchAll(touched map[string]bool) {
	for s := range r.service {
		touched[s] = true
	}
}

func (r *Roster) clear() {
	clear(r.members)
	clear(r.service)
}

func sorted(m map[string]*controlpb.Member) []*controlpb.Member {
	s := make([]*controlpb.Member, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s = append(s, m[k])
	}
	return s
}
