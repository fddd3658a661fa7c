// Package listing keeps a balancer's list of the registered agents and its latest
// changes. Balancers pass the changes on to each other, so that each reads the whole
// list from the platform's store only at its start, or when the store has compacted the
// changes that it lacks.
package listing

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/store"
	"github.com/zeebo/xxh3"
)

// maxChanges is the number of latest changes that are always kept for other balancers;
// at most twice as many are. It covers a day at the target size, some 400 KB.
const maxChanges = 1024

// Agents is the list of the registered agents at a revision of the store.
type Agents struct {
	members  map[string]director.Member
	revision store.Revision
	// hash identifies the content of the list, without the Incarnation and Sequence of the
	// agents. It does not depend on the order of the changes that led to it.
	hash uint64
	// changes has the latest changes, the oldest first, and base is the first revision
	// after which they are complete.
	changes []change
	base    store.Revision
}

// change is one agent that was added, changed or removed.
type change struct {
	at      store.Revision
	member  director.Member
	removed bool
}

// NewAgents returns an empty list.
func NewAgents() *Agents {
	return &Agents{
		members: map[string]director.Member{},
	}
}

// State returns the revision and hash of the present list.
func (a *Agents) State() freshness.State {
	return freshness.State{
		Revision: uint64(a.revision),
		Hash:     a.hash,
	}
}

// Apply applies changes that lead to a revision, and reports whether it did: it ignores
// changes that lead to an older revision than the present one.
func (a *Agents) Apply(c director.MemberChanges, at store.Revision) bool {
	if at < a.revision {
		return false
	}
	if c.Full {
		c = a.difference(c)
	}
	for _, x := range c.Listed {
		a.put(x, at)
	}
	for _, n := range c.Removed {
		a.remove(n, at)
	}
	if a.revision == 0 {
		a.base = at
		a.changes = nil
	}
	a.revision = at
	return true
}

// Since returns the changes after a revision, or the whole list when the revision is
// zero or the changes are no longer kept, and the revision that they lead to. Only the
// latest change of each agent is returned.
func (a *Agents) Since(after store.Revision) (director.MemberChanges, store.Revision) {
	if after == 0 || after < a.base {
		return director.MemberChanges{
			Full:   true,
			Listed: a.all(),
		}, a.revision
	}
	var c director.MemberChanges
	i, _ := slices.BinarySearchFunc(a.changes, after+1, func(x change, r store.Revision) int { return int(x.at) - int(r) })
	latest := map[string]change{}
	for _, x := range a.changes[i:] {
		latest[x.member.Name] = x
	}
	for _, n := range slices.Sorted(maps.Keys(latest)) {
		if x := latest[n]; x.removed {
			c.Removed = append(c.Removed, n)
		} else {
			c.Listed = append(c.Listed, x.member)
		}
	}
	return c, a.revision
}

func (a *Agents) all() []director.Member {
	return slices.SortedFunc(maps.Values(a.members), func(x, y director.Member) int { return strings.Compare(x.Name, y.Name) })
}

// difference turns a whole list into the changes from the present one.
func (a *Agents) difference(c director.MemberChanges) director.MemberChanges {
	d := director.MemberChanges{
		Listed: c.Listed,
	}
	listed := map[string]bool{}
	for _, x := range c.Listed {
		listed[x.Name] = true
	}
	for _, n := range slices.Sorted(maps.Keys(a.members)) {
		if !listed[n] {
			d.Removed = append(d.Removed, n)
		}
	}
	return d
}

func (a *Agents) put(x director.Member, at store.Revision) {
	old, found := a.members[x.Name]
	if found && old == x {
		return
	}
	if found {
		a.hash ^= hashOf(old)
	}
	a.members[x.Name] = x
	a.hash ^= hashOf(x)
	a.record(change{
		at:     at,
		member: x,
	})
}

func (a *Agents) remove(name string, at store.Revision) {
	old, found := a.members[name]
	if !found {
		return
	}
	delete(a.members, name)
	a.hash ^= hashOf(old)
	a.record(change{
		at:      at,
		member:  old,
		removed: true,
	})
}

func (a *Agents) record(c change) {
	a.changes = append(a.changes, c)
	if len(a.changes) > 2*maxChanges {
		a.base = a.changes[maxChanges-1].at
		a.changes = slices.Clone(a.changes[maxChanges:])
	}
}

func hashOf(x director.Member) uint64 {
	return xxh3.HashString(strings.Join([]string{x.Name, x.Address.String(), x.Service, x.Domain}, "\n"))
}
