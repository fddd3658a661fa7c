package placement

import "time"

// Config has the limits and weights of the choice of a target. The use of a target is
// the share of its slots that is in use, with ColdPenalty added if it is cold.
type Config struct {
	// RemoteUse is the use of the best local target above which targets in other
	// failure domains are considered. They also are if no local one is left.
	RemoteUse float64
	// RemoteMargin is how much lower the use of a target in another failure domain
	// must be. It stands for the cost of traffic between domains.
	RemoteMargin float64
	// SilenceTimeout is the silence after which a target is only a last resort.
	SilenceTimeout time.Duration
	// ColdPenalty is added to the use of a cold target.
	ColdPenalty float64
}

// DefaultConfig returns the configuration for targets that slow down once three
// quarters of their slots are in use, and for domains where a response from another
// domain is worth a few percent less.
func DefaultConfig() Config {
	return Config{
		RemoteUse:      0.7,
		RemoteMargin:   0.25,
		SilenceTimeout: 800 * time.Millisecond,
		ColdPenalty:    0.3,
	}
}

const (
	// minFlowLoad is the least load that a flow is assumed to have, in slots. It
	// spreads flows while nothing is known about their load.
	minFlowLoad = 0.02
	// newFlowLoad is the least load in slots that a flow is assumed to have until the next
	// report: its first request takes some 40 ms of the half second between two reports.
	newFlowLoad = 0.08
	// sampleThreshold is the number of local or remote candidates that are not silent from
	// which on two of them are drawn and compared, instead of all.
	sampleThreshold = 4
	// silencePenalty is added to the use of silent candidates and ranks them behind
	// all others.
	silencePenalty = 1000
)

// Choose returns the index of the candidate for a new flow. It also returns whether the
// balancer's failure domain is crowded or has no candidate, so that reports of the other
// domains are needed, and false for ok if there is no candidate at all. Local candidates
// come first while they have room; silent ones are chosen only when no others are left.
// Seed decides which candidates are drawn; it must be the same for all copies of a
// flow's first packet.
//
// The rules fit three cases: normal load, where every domain serves the flows that reach
// its balancers; a domain that gets more flows than its targets can handle; and a restart
// of everything, when many balancers place thousands of flows between two reports. In the
// last case the least used target would get all flows, whereas the better of two drawn
// ones gets its share.
func (c Config) Choose(candidates []Candidate, seed uint64) (index int, crowded, ok bool) {
	perFlow := meanFlowLoad(candidates)
	local, localUse := c.best(candidates, perFlow, true, seed)
	remote, remoteUse := c.best(candidates, perFlow, false, seed)
	crowded = local < 0 || localUse > c.RemoteUse
	switch {
	case local < 0 && remote < 0:
		return 0, crowded, false
	case local < 0:
		return remote, crowded, true
	case remote < 0:
		return local, crowded, true
	case localUse >= silencePenalty && remoteUse < silencePenalty:
		return remote, crowded, true
	case crowded && remoteUse+c.RemoteMargin < localUse:
		return remote, crowded, true
	}
	return local, crowded, true
}

// best returns the index and use, with penalties, of the least used local or remote
// candidate, or of the better of two drawn ones when there are many. The index is -1 if
// there is none.
func (c Config) best(candidates []Candidate, perFlow float64, local bool, seed uint64) (int, float64) {
	n, first, second := c.draw(candidates, local, seed)
	best := -1
	least := 0.0
	for i, t := range candidates {
		if t.Local != local {
			continue
		}
		if t.Silence <= c.SilenceTimeout && n >= sampleThreshold && i != first && i != second {
			continue
		}
		u := c.weigh(t, perFlow)
		if best < 0 || u < least {
			best = i
			least = u
		}
	}
	return best, least
}

// draw returns the number of local or remote candidates that are not silent, and the
// indices of the two with the highest ranks, or -1.
func (c Config) draw(candidates []Candidate, local bool, seed uint64) (n, first, second int) {
	first = -1
	second = -1
	highest := uint64(0)
	next := uint64(0)
	for i, t := range candidates {
		if t.Local != local || t.Silence > c.SilenceTimeout {
			continue
		}
		n++
		switch r := Rank(seed, t.Key); {
		case first < 0 || r > highest:
			second = first
			next = highest
			first = i
			highest = r
		case second < 0 || r > next:
			second = i
			next = r
		}
	}
	return n, first, second
}

// Rank returns the rank of a target in the draw for a flow. The draw takes the highest
// ranks, so it hardly changes when targets are added or removed, and a balancer that does
// not know where a flow is can begin with the targets that it would be drawn for.
func Rank(seed, key uint64) uint64 {
	x := seed ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (c Config) weigh(t Candidate, perFlow float64) float64 {
	u := t.use(perFlow)
	if t.Cold {
		u += c.ColdPenalty
	}
	if t.Silence > c.SilenceTimeout {
		u += silencePenalty
	}
	return u
}

// meanFlowLoad returns the mean load of one flow over all candidates, in slots, but at
// least minFlowLoad.
func meanFlowLoad(candidates []Candidate) float64 {
	busy := 0.0
	flows := 0.0
	for _, t := range candidates {
		busy += t.Busy
		flows += float64(t.Flows)
	}
	if flows == 0 {
		return minFlowLoad
	}
	return max(busy/flows, minFlowLoad)
}
