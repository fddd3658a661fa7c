package freshness

import (
	"net/netip"
	"time"
)

// announcement is the newest revision of a piece of state that a digest has announced and that
// is not in force here. It is kept until the revision is in force, or the fetch of it has failed:
// a digest that comes during the fetch of an earlier revision may be the only one for seconds.
type announcement struct {
	revision uint64
	from     netip.AddrPort
}

// announce records a newer revision and fetches it, unless another fetch of the kind is running.
func (m *Model) announce(now time.Time, k Kind, revision uint64, from netip.AddrPort) {
	adopted := &m.adopted[k]
	if revision < adopted.announced.revision {
		return
	}
	adopted.announced = announcement{
		revision: revision,
		from:     from,
	}
	m.fetchAnnounced(now, k)
}

// fetchAnnounced fetches the announced revision of a kind of state if it is still missing.
func (m *Model) fetchAnnounced(now time.Time, k Kind) {
	adopted := &m.adopted[k]
	missing := adopted.announced.revision > adopted.state.Revision
	if !missing || adopted.fetching || now.Sub(adopted.fetchedAt) <= retryInterval {
		return
	}
	adopted.fetching = true
	adopted.fetchedAt = now
	m.emit(FetchEffect{
		Kind:     k,
		From:     adopted.announced.from,
		Revision: adopted.announced.revision,
	})
}

// handleFetched ends a fetch. It forgets what it was for, also if the state is not in force,
// unless it failed and another peer has announced the same meanwhile.
func (m *Model) handleFetched(now time.Time, msg FetchedMsg) {
	adopted := &m.adopted[msg.Kind]
	adopted.fetching = false
	attempted := adopted.announced.revision <= msg.Revision
	if attempted && (!msg.Failed || adopted.announced.from == msg.From) {
		adopted.announced = announcement{}
	}
	m.fetchAnnounced(now, msg.Kind)
}

// Lacks reports whether a revision of a kind of state is newer than what is in force.
func (m *Model) Lacks(k Kind, revision uint64) bool {
	return revision > m.adopted[k].state.Revision
}
