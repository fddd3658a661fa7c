// Package roster holds the list of targets and balancers that have announced
// themselves. One registrar per region, fenced by its lease term, orders the changes
// of the list; all other instances merge the deltas that they receive.
package roster

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
)

// ErrGap marks a delta that starts above the version it was merged into, or that
// does not continue the history of the roster.
var ErrGap = errors.New("delta does not continue the held roster")

// InstanceService is the service name under which balancers are listed.
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
	// Origin is the last version before the registrar's term, which the term continues.
	// Versions of earlier terms above it come from a registrar that had been
	// replaced, and are not part of this roster's history.
	Origin    Version
	members   map[string]*controlpb.Member
	byService map[string]map[string]*controlpb.Member
	// departed lists the departures from each service, by target.
	departed map[string]map[string]*controlpb.Departure
}

// NewRoster returns an empty roster at version zero.
func NewRoster() *Roster {
	return &Roster{
		members:   map[string]*controlpb.Member{},
		byService: map[string]map[string]*controlpb.Member{},
		departed:  map[string]map[string]*controlpb.Departure{},
	}
}

// Merge applies a delta and returns the services of the members in it, also those that they
// have left, and, on a new term, of all members. A delta at or below the held version changes
// nothing and returns nil; one that starts above it or does not continue this roster's history
// returns ErrGap.
func (r *Roster) Merge(delta *controlpb.Roster) ([]string, error) {
	if Version(delta.GetVersion()) <= r.Version {
		return nil, nil
	}
	if Version(delta.GetBase()) > r.Version || r.diverged(delta) {
		return nil, errors.Wrapf(ErrGap, "base %d, held %d", delta.GetBase(), r.Version)
	}
	touched := map[string]bool{}
	if Version(delta.GetVersion()).Term() != r.Version.Term() {
		r.touchAll(touched)
	}
	if delta.GetBase() == 0 {
		r.clear()
	}
	for _, member := range delta.GetMembers() {
		r.Put(member)
		for _, s := range Services(member) {
			touched[s] = true
		}
	}
	r.Version = Version(delta.GetVersion())
	r.Origin = Version(delta.GetOrigin())
	return slices.Sorted(maps.Keys(touched)), nil
}

// Since returns every member changed after a version, or the whole roster when the
// version is not known to be part of this roster's history. A service limits the result
// to its members, those that have left it, and the balancers; empty gives all. The order is not
// fixed.
func (r *Roster) Since(v Version, service string) *controlpb.Roster {
	if !r.inHistory(v) {
		v = 0
	}
	m := &controlpb.Roster{
		Version: uint64(r.Version),
		Base:    uint64(v),
		Origin:  uint64(r.Origin),
	}
	for _, member := range r.members {
		wanted := service == "" || member.GetService() == InstanceService || slices.Contains(Services(member), service)
		if wanted && Version(member.GetVersion()) > v {
			m.Members = append(m.Members, member)
		}
	}
	return m
}

// Len returns the number of members, gone ones included.
func (r *Roster) Len() int {
	return len(r.members)
}

// inHistory reports whether a version is known to be part of this roster's history: it
// is of the current term, or of the term of Origin and not above Origin.
func (r *Roster) inHistory(v Version) bool {
	if v.Term() == r.Version.Term() {
		return true
	}
	return v <= r.Origin && v.Term() == r.Origin.Term()
}

// TermStart returns the first version of the current term. No table that is built
// in this term has a lower roster version.
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
	return sorted(r.byService[name])
}

// Departures returns the departures from a service by target. They keep the vector of its
// table from falling when a target leaves, and must not be changed.
func (r *Roster) Departures(service string) map[string]*controlpb.Departure {
	return r.departed[service]
}

// Services returns the service of a member and those that it has left.
func Services(m *controlpb.Member) []string {
	l := []string{m.GetService()}
	for _, d := range m.GetDepartures() {
		l = append(l, d.GetService())
	}
	return l
}

// Put stores one member unchanged. The caller must make sure that versions only
// rise.
func (r *Roster) Put(member *controlpb.Member) {
	if old := r.members[member.GetTarget()]; old != nil {
		delete(r.byService[old.GetService()], member.GetTarget())
		for _, d := range old.GetDepartures() {
			delete(r.departed[d.GetService()], member.GetTarget())
		}
	}
	for _, d := range member.GetDepartures() {
		if r.departed[d.GetService()] == nil {
			r.departed[d.GetService()] = map[string]*controlpb.Departure{}
		}
		r.departed[d.GetService()][member.GetTarget()] = d
	}
	r.members[member.GetTarget()] = member
	s := r.byService[member.GetService()]
	if s == nil {
		s = map[string]*controlpb.Member{}
		r.byService[member.GetService()] = s
	}
	s[member.GetTarget()] = member
}

// diverged reports whether this roster holds changes that the registrar of a
// newer term never received, so that a delta cannot be applied.
func (r *Roster) diverged(delta *controlpb.Roster) bool {
	if delta.GetBase() == 0 || Version(delta.GetVersion()).Term() == r.Version.Term() {
		return false
	}
	return r.Version > Version(delta.GetOrigin())
}

func (r *Roster) touchAll(touched map[string]bool) {
	for s := range r.byService {
		touched[s] = true
	}
}

func (r *Roster) clear() {
	clear(r.members)
	clear(r.byService)
	clear(r.departed)
}

func sorted(m map[string]*controlpb.Member) []*controlpb.Member {
	s := make([]*controlpb.Member, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s = append(s, m[k])
	}
	return s
}
