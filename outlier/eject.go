package outlier

import (
	"cmp"
	"slices"
)

// Server is a target of a service, for the choice of those that are ejected.
type Server struct {
	// Index is for the caller's use.
	Index   int
	Name    string
	Share   float64
	Failing bool
}

const (
	// minServers is the least number of targets of a service of which one is ejected.
	minServers = 3
	// ejectDivisor bounds the part of a service's targets that is ejected, because the others
	// get their flows.
	ejectDivisor = 3
	// ProbeDivisor is the inverse of the part of the flows for which an ejected target is a
	// candidate. It gets about one in 50 of its share of flows: placement compares three drawn
	// targets, and an ejected one is idle and wins whenever it is drawn.
	ProbeDivisor = 150
)

// Eject returns the targets of a service that get no new flows but probe traffic: the failing
// ones with the highest shares, at most one in ejectDivisor. It answers a few backend servers
// that fail while the others could serve their flows. If half or more are failing, the fault is
// elsewhere, and none is ejected. It sorts the list in place. The result depends on nothing
// else, so balancers with the same reports agree.
func Eject(l []Server) []Server {
	failing := 0
	for _, s := range l {
		if s.Failing {
			failing++
		}
	}
	if failing == 0 || len(l) < minServers || 2*failing >= len(l) {
		return nil
	}
	slices.SortFunc(l, compareServers)
	return l[:min(failing, len(l)/ejectDivisor)]
}

// compareServers sorts the failing ones first, the worst of them first, and by name.
func compareServers(a, b Server) int {
	switch {
	case a.Failing != b.Failing && a.Failing:
		return -1
	case a.Failing != b.Failing:
		return 1
	case a.Share != b.Share:
		return cmp.Compare(b.Share, a.Share)
	}
	return cmp.Compare(a.Name, b.Name)
}

// Probes reports whether a new flow may go to an ejected target. mixed is a hash of the flow and
// the target, so that balancers probe at different times.
func Probes(mixed uint64) bool {
	return mixed%ProbeDivisor == 0
}
