package roster

import (
	"math"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"google.golang.org/protobuf/proto"
)

const (
	// orphanTimeout is how long a member may be without a balancer that hears it.
	orphanTimeout = 4 * time.Second
	// weightStep is the change of weight that moves buckets.
	weightStep = 0.2
)

// Registrar orders the changes of a roster during one lease term. Its Roster
// is the one that everybody follows. A Registrar belongs to one goroutine.
type Registrar struct {
	roster   *Roster
	sequence uint32
	claims   map[string]*claim
}

// claim is which balancer hears a member.
type claim struct {
	balancer string
	// orphaned is when the balancer was lost; zero while it is connected.
	orphaned time.Time
}

// NewRegistrar starts a term from the roster that this instance has heard. All
// members count as alive until their balancers had time to claim them.
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
				orphaned: now,
			}
		}
	}
	return g
}

// Claim takes an announcement that a balancer heard. It reports whether the
// roster changed.
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
	g.put(m)
	return true
}

// Lapse takes the news that a balancer no longer hears a member. It reports
// whether the roster changed.
func (g *Registrar) Lapse(m *controlpb.Member, balancer string) bool {
	if !g.claimedBy(m.GetTarget(), balancer) {
		return false
	}
	return g.remove(m.GetTarget(), m.GetIncarnation(), true)
}

// BalancerLost starts the timeout of all members that a balancer heard.
func (g *Registrar) BalancerLost(balancer string, now time.Time) {
	for _, c := range g.claims {
		if c.balancer == balancer && c.orphaned.IsZero() {
			c.orphaned = now
		}
	}
}

// Tick removes members that no balancer has claimed in time. It reports
// whether the roster changed.
func (g *Registrar) Tick(now time.Time) bool {
	changed := false
	for id, c := range g.claims {
		if c.orphaned.IsZero() || now.Sub(c.orphaned) < orphanTimeout {
			continue
		}
		if m := g.roster.Member(id); m != nil && g.remove(id, m.GetIncarnation(), true) {
			changed = true
		}
	}
	return changed
}

// claimedBy reports whether a balancer was the last to hear a member.
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
	g.put(m)
	return true
}

func (g *Registrar) put(m *controlpb.Member) {
	g.sequence++
	c := proto.CloneOf(m)
	c.Version = uint64(NewVersion(g.roster.Version.Term(), g.sequence))
	g.roster.Put(c)
	g.roster.Version = Version(c.GetVersion())
}

// differs reports whether an announcement changes anything that others use.
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
	return math.Abs(a-b) > weightStep*math.Max(a, 1)
}
