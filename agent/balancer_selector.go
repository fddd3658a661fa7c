package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// connectTimeout is how long one balancer is tried before the next.
const connectTimeout = 300 * time.Millisecond

// balancerSelector chooses the balancer that this agent announces itself to. Each agent
// has its own order, so that the agents of a lost balancer spread out.
type balancerSelector struct {
	self    string
	seeds   []string
	current string
	since   time.Time
	open    bool
	failed  map[string]time.Time
}

func newBalancerSelector(self string, seeds []string) *balancerSelector {
	return &balancerSelector{
		self:   self,
		seeds:  seeds,
		failed: map[string]time.Time{},
	}
}

// opened notes a connection to the current balancer.
func (s *balancerSelector) opened() {
	s.open = true
}

// closed notes the loss of the connection.
func (s *balancerSelector) closed(now time.Time) {
	s.open = false
	s.since = now
}

// choose returns the balancer to use and whether that is a new one.
func (s *balancerSelector) choose(now time.Time, known []string) (string, bool) {
	if s.current != "" && s.open {
		return s.current, false
	}
	if s.current != "" && now.Sub(s.since) < connectTimeout {
		return s.current, false
	}
	if s.current != "" {
		s.failed[s.current] = now
	}
	next := s.order(known)
	if len(next) == 0 {
		return s.current, false
	}
	s.current = next[0]
	s.since = now
	s.open = false
	return s.current, true
}

// order lists balancers, the longest unfailed first, then by this agent's hash.
func (s *balancerSelector) order(known []string) []string {
	l := slices.Concat(known, s.seeds)
	slices.Sort(l)
	l = slices.Compact(l)
	slices.SortFunc(l, func(a, b string) int {
		if c := s.failed[a].Compare(s.failed[b]); c != 0 {
			return c
		}
		return cmp.Compare(xxh3.HashString(s.self+a), xxh3.HashString(s.self+b))
	})
	return l
}
