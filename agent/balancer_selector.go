package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// connectTimeout is how long the agent tries one balancer before the next.
const connectTimeout = 300 * time.Millisecond

// balancerSelector chooses the balancer that this agent announces itself to.
// Each agent has its own order of balancers, so that the agents of a failed
// balancer spread over the others.
type balancerSelector struct {
	self              string
	seeds             []string
	current           string
	disconnectedSince time.Time
	open              bool
	failedAt          map[string]time.Time
}

func newBalancerSelector(self string, seeds []string) *balancerSelector {
	return &balancerSelector{
		self:     self,
		seeds:    seeds,
		failedAt: map[string]time.Time{},
	}
}

// opened records a connection to the current balancer.
func (s *balancerSelector) opened() {
	s.open = true
}

// closed records the loss of the connection.
func (s *balancerSelector) closed(now time.Time) {
	s.open = false
	s.disconnectedSince = now
}

// choose returns the balancer to use and whether it was newly chosen.
func (s *balancerSelector) choose(now time.Time, known []string) (string, bool) {
	if s.current != "" && s.open {
		return s.current, false
	}
	if s.current != "" && now.Sub(s.disconnectedSince) < connectTimeout {
		return s.current, false
	}
	if s.current != "" {
		s.failedAt[s.current] = now
	}
	next := s.order(known)
	if len(next) == 0 {
		return s.current, false
	}
	s.current = next[0]
	s.disconnectedSince = now
	s.open = false
	return s.current, true
}

// order returns the balancers by the time of their last failure, those that
// never failed first, then by a hash of this agent and the balancer.
func (s *balancerSelector) order(known []string) []string {
	l := slices.Concat(known, s.seeds)
	slices.Sort(l)
	l = slices.Compact(l)
	slices.SortFunc(l, func(a, b string) int {
		if c := s.failedAt[a].Compare(s.failedAt[b]); c != 0 {
			return c
		}
		return cmp.Compare(xxh3.HashString(s.self+a), xxh3.HashString(s.self+b))
	})
	return l
}
