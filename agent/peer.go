package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// peer is what an agent knows about another agent of its service.
type peer struct {
	incarnation target.Incarnation
	// since is when the peer entered the table.
	since time.Time
	// synced is the vector of the latest whole list of flows, if any.
	synced    service.Vector
	hasSynced bool
	askedAt   time.Time
	// active, limit and placed estimate the room at the peer.
	active uint32
	limit  uint32
	placed uint32
}

// answered reports whether the peer has listed its flows at a vector or later.
func (p *peer) answered(v service.Vector) bool {
	return p.hasSynced && p.synced.Covers(v)
}

// room reports whether the peer seems to have a free place.
func (p *peer) room() bool {
	return p.active+p.placed < p.limit
}

// use is the share of the peer's limit that is taken.
func (p *peer) use() float64 {
	if p.limit == 0 {
		return 1
	}
	return float64(p.active+p.placed) / float64(p.limit)
}
