package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// connectTimeout is how long one balancer is tried before the next.
const connectTimeout = 300 * time.Millisecond

// parent chooses the balancer that this agent announces itself to. Each agent
// has its own order, so that the agents of a lost balancer spread out.
type parent struct {
	self    string
	seeds   []string
	current string
	since   time.Time
	open    bool
	failed  map[string]time.Time
}

func newParent(self string, seeds []string) *parent {
	return &parent{
		self:   self,
		seeds:  seeds,
		failed: map[string]time.Time{},
	}
}

// opened notes a connection to the current balancer.
func (p *parent) opened() {
	p.open = true
}

// closed notes the loss of the connection.
func (p *parent) closed(now time.Time) {
	p.open = false
	p.since = now
}

// choose returns the balancer to use and whether that is a new one.
func (p *parent) choose(now time.Time, known []string) (string, bool) {
	if p.current != "" && p.open {
		return p.current, false
	}
	if p.current != "" && now.Sub(p.since) < connectTimeout {
		return p.current, false
	}
	if p.current != "" {
		p.failed[p.current] = now
	}
	next := p.order(known)
	if len(next) == 0 {
		return p.current, false
	}
	p.current = next[0]
	p.since = now
	p.open = false
	return p.current, true
}

// order lists balancers, the longest unfailed first, then by this agent's hash.
func (p *parent) order(known []string) []string {
	l := slices.Concat(known, p.seeds)
	slices.Sort(l)
	l = slices.Compact(l)
	slices.SortFunc(l, func(a, b string) int {
		if c := p.failed[a].Compare(p.failed[b]); c != 0 {
			return c
		}
		return cmp.Compare(xxh3.HashString(p.self+a), xxh3.HashString(p.self+b))
	})
	return l
}
