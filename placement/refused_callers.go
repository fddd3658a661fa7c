package placement

import "time"

const (
	// refusedRetention is the time for which a refused caller is remembered: refused callers
	// come back within a few hundred milliseconds.
	refusedRetention = 2 * time.Second
	// refusedSlots is the size of the table of refused callers, which takes 32 KB. In a burst
	// of more, the latest ones are remembered.
	refusedSlots = 1024
)

// RefusedCallers remembers by address which callers were refused lately. Two callers may share
// an entry; the earlier one is forgotten then. It is not safe for concurrent use.
type RefusedCallers struct {
	entries [refusedSlots]refusedCaller
}

type refusedCaller struct {
	address uint32
	at      time.Time
}

// Add records that a caller was refused.
func (r *RefusedCallers) Add(now time.Time, address uint32) {
	*r.entry(address) = refusedCaller{
		address: address,
		at:      now,
	}
}

// Contains reports whether a caller was refused within refusedRetention.
func (r *RefusedCallers) Contains(now time.Time, address uint32) bool {
	e := r.entry(address)
	return e.address == address && !e.at.IsZero() && now.Sub(e.at) <= refusedRetention
}

func (r *RefusedCallers) entry(address uint32) *refusedCaller {
	return &r.entries[Rank(0, uint64(address))%refusedSlots]
}
