package placement

import "time"

// Config weighs a choice.
type Config struct {
	// RemoteUse is the use of its slots above which a local target passes flows
	// to other failure domains.
	RemoteUse float64
	// RemoteMargin is how much lower the use of a target in another failure domain
	// must be; it stands for the cost of bytes between domains.
	RemoteMargin float64
	// SilenceLimit is the silence after which a target is a last resort.
	SilenceLimit time.Duration
	// ColdPenalty is added to the use of a cold target.
	ColdPenalty float64
}

// DefaultConfig fits targets that slow down from three quarters of their slots
// on, and domains where an answer from outside costs a few percent of its worth.
func DefaultConfig() Config {
	return Config{
		RemoteUse:    0.7,
		RemoteMargin: 0.25,
		SilenceLimit: 800 * time.Millisecond,
		ColdPenalty:  0.3,
	}
}

const (
	// minFlowLoad is the least load that a flow is taken to bring, in slots. It
	// spreads flows while nothing is known about their load.
	minFlowLoad = 0.02
	// newFlowLoad is the load that a flow brings until the next report: its
	// first request, of some 40 ms, within half a second.
	newFlowLoad = 0.08
	// sampleFrom is the number of members from which on two are drawn and
	// compared, instead of all.
	sampleFrom = 4
	// silentUse puts members that are not heard behind all others.
	silentUse = 1000
)

// Choose returns the index of the member for a new flow, whether the caller's
// failure domain is crowded, so that news of the others is wanted, and false if there
// is no member. Members of the caller's failure domain come first while they have room;
// silent members only when nobody else is left. Seed makes the choice among
// many members; the copies of a flow's first packet have the same.
//
// It answers the daily load, where every domain serves itself; a domain whose
// clients outgrow its targets; and the return of everything at once, when many
// balancers place thousands of flows between two reports: the least used of
// all would get them all, the better of two drawn ones gets its share.
func (c Config) Choose(members []Candidate, seed uint64) (index int, crowded, ok bool) {
	perFlow := meanFlowLoad(members)
	local, localUse := c.best(members, perFlow, true, seed)
	remote, remoteUse := c.best(members, perFlow, false, seed)
	crowded = local < 0 || localUse > c.RemoteUse
	switch {
	case local < 0 && remote < 0:
		return 0, crowded, false
	case local < 0:
		return remote, crowded, true
	case remote < 0:
		return local, crowded, true
	case localUse >= silentUse && remoteUse < silentUse:
		return remote, crowded, true
	case crowded && remoteUse+c.RemoteMargin < localUse:
		return remote, crowded, true
	}
	return local, crowded, true
}

// best returns the least used of the members on one side, or of two of them
// when there are many.
func (c Config) best(members []Candidate, perFlow float64, local bool, seed uint64) (int, float64) {
	n := 0
	for _, m := range members {
		if m.Local == local && m.Silence <= c.SilenceLimit {
			n++
		}
	}
	first, second := draw(n, seed)
	best := -1
	least := 0.0
	rank := -1
	for i, m := range members {
		if m.Local != local {
			continue
		}
		if m.Silence <= c.SilenceLimit {
			rank++
			if n >= sampleFrom && rank != first && rank != second {
				continue
			}
		}
		u := c.weigh(m, perFlow)
		if best < 0 || u < least {
			best = i
			least = u
		}
	}
	return best, least
}

// draw returns two different numbers below n.
func draw(n int, seed uint64) (first, second int) {
	if n < 2 {
		return 0, 0
	}
	first = int(seed % uint64(n))
	second = int((seed / uint64(n)) % uint64(n-1))
	if second >= first {
		second++
	}
	return first, second
}

func (c Config) weigh(m Candidate, perFlow float64) float64 {
	u := m.use(perFlow)
	if m.Cold {
		u += c.ColdPenalty
	}
	if m.Silence > c.SilenceLimit {
		u += silentUse
	}
	return u
}

// meanFlowLoad is the load that one flow brings, over all members.
func meanFlowLoad(members []Candidate) float64 {
	busy := 0.0
	flows := 0.0
	for _, m := range members {
		busy += m.Busy
		flows += float64(m.Flows)
	}
	if flows == 0 {
		return minFlowLoad
	}
	return max(busy/flows, minFlowLoad)
}
