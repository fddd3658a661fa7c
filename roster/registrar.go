package roster

import (
	"math"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"google.golang.org/protobuf/proto"
)

const (
	// reclaimTimeout is how long a member whose balancer was lost may go without a
	// claim of a balancer before it is marked gone.
	reclaimTimeout = 4 * time.Second
	// minWeightChange is the relative change of a weight above which the roster
	// takes the new weight, which moves buckets.
	minWeightChange = 0.2
)

// Registrar orders the changes of a roster during one lease term. The other balancers
// of the region replicate its Roster, agents only the part that they need. A Registrar
// belongs to one goroutine.
type Registrar struct {
	roster   *Roster
	sequence uint32
	claims   map[string]*claim
}

// claim records the balancer that was the last to claim a member in this term.
type claim struct {
	// balancer is empty until the first claim in this term.
	balancer string
	// balancerLostAt is when the balancer was reported lost after its claim, or when
	// the term began; zero otherwise.
	balancerLostAt time.Time
}

// NewRegistrar starts a term on the roster that this instance holds, which it changes
// in place. Unclaimed members are not marked gone before reclaimTimeout, so that
// balancers have time to claim them.
func NewRegistrar(r *Roster, term uint32, now time.Time) *Registrar {
	r.Origin = r.Version
	r.Version = NewVersion(term, 0)
	g := &Registrar{
		roster: r,
		claims: map[string]*claim{},
	}
	for _, m := range r.Members() {
		if m.GetState() != controlpb.MemberState_MEMBER_STATE_GONE {
			g.claims[m.GetTarget()] = &claim{
				balancerLostAt: now,
			}
		}
	}
	return g
}

// Claim takes an announcement that a balancer received from a member, and assigns
// the member to the balancer; the state gone marks a member of the same incarnation
// gone instead. It ignores lower incarnations, and a suspect state from a balancer that
// was not the last to claim the member. It reports whether the roster changed.
func (g *Registrar) Claim(m *controlpb.Member, balancer string) bool {
	old := g.roster.Member(m.GetTarget())
	if old != nil && m.GetIncarnation() < old.GetIncarnation() {
		return false
	}
	if m.GetState() == controlpb.MemberState_MEMBER_STATE_GONE {
		return g.remove(m.GetTarget(), m.GetIncarnation(), m.GetCrashed())
	}
	if m.GetState() == controlpb.MemberState_MEMBER_STATE_SUSPECT && !g.claimedBy(m.GetTarget(), balancer) {
		return false
	}
	g.claims[m.GetTarget()] = &claim{
		balancer: balancer,
	}
	if old != nil && !differs(old, m) {
		return false
	}
	g.putVersioned(m)
	return true
}

// Lapse marks a member gone and crashed because a balancer no longer receives its
// heartbeats. It does so only if that balancer was the last to claim the member in this
// term, and the roster holds the same incarnation. It reports whether the roster changed.
func (g *Registrar) Lapse(m *controlpb.Member, balancer string) bool {
	if !g.claimedBy(m.GetTarget(), balancer) {
		return false
	}
	return g.remove(m.GetTarget(), m.GetIncarnation(), true)
}

// BalancerLost starts the timeout of all members that a lost balancer was the last to
// claim, unless it is running already.
func (g *Registrar) BalancerLost(balancer string, now time.Time) {
	for _, c := range g.claims {
		if c.balancer == balancer && c.balancerLostAt.IsZero() {
			c.balancerLostAt = now
		}
	}
}

// Tick marks members gone and crashed that no balancer has claimed in the reclaimTimeout
// after their balancer was lost or, without a claim in this term, after the term began.
// It reports whether the roster changed.
func (g *Registrar) Tick(now time.Time) bool {
	changed := false
	for id, c := range g.claims {
		if c.balancerLostAt.IsZero() || now.Sub(c.balancerLostAt) < reclaimTimeout {
			continue
		}
		if m := g.roster.Member(id); m != nil && g.remove(id, m.GetIncarnation(), true) {
			changed = true
		}
	}
	return changed
}

// claimedBy reports whether a balancer was the last to claim a member in this term.
func (g *Registrar) claimedBy(target, balancer string) bool {
	c := g.claims[target]
	return c != nil && c.balancer == balancer
}

func (g *Registrar) remove(id string, incarnation uint64, crashed bool) bool {
	old := g.roster.Member(id)
	if old == nil || old.GetState() == controlpb.MemberState_MEMBER_STATE_GONE || old.GetIncarnation() != incarnation {
		return false
	}
	delete(g.claims, id)
	m := proto.CloneOf(old)
	m.State = controlpb.MemberState_MEMBER_STATE_GONE
	m.Crashed = crashed
	g.putVersioned(m)
	return true
}

func (g *Registrar) putVersioned(m *controlpb.Member) {
	g.sequence++
	c := proto.CloneOf(m)
	c.Version = uint64(NewVersion(g.roster.Version.Term(), g.sequence))
	c.Departures = departures(g.roster.Member(m.GetTarget()), c)
	g.roster.Put(c)
	g.roster.Version = Version(c.GetVersion())
}

// departures returns the departures of a member that replaces old: those of old and, if its
// service is another one, that from the service of old.
func departures(old, m *controlpb.Member) []*controlpb.Departure {
	var l []*controlpb.Departure
	for _, d := range old.GetDepartures() {
		if d.GetService() != m.GetService() {
			l = append(l, d)
		}
	}
	if old != nil && old.GetService() != m.GetService() {
		l = append(l, &controlpb.Departure{
			Service: old.GetService(),
			Domain:  old.GetDomain(),
			Version: m.GetVersion(),
		})
	}
	return l
}

// differs reports whether an announcement changes anything that other instances
// use. Small changes of the weight do not count.
func differs(old, m *controlpb.Member) bool {
	same := old.GetIncarnation() == m.GetIncarnation() &&
		old.GetState() == m.GetState() &&
		old.GetService() == m.GetService() &&
		old.GetDomain() == m.GetDomain() &&
		old.GetPacketAddress() == m.GetPacketAddress() &&
		old.GetControlAddress() == m.GetControlAddress()
	if !same {
		return true
	}
	a := float64(old.GetWeight())
	b := float64(m.GetWeight())
	return math.Abs(a-b) > minWeightChange*math.Max(a, 1)
}
