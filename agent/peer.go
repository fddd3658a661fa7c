package agent

import (
	"time"

	"github.com/lentilshed/lentilshed/service"
	"github.com/lentilshed/lentilshed/target"
)

// peer is what an agent knows about another agent of its service.
type peer struct {
	incarnation target.Incarnation
	// since is when the peer became known.
	since time.Time
	// synced is the vector of the latest SyncMsg. It counts only while needFull
	// is false.
	synced service.Vector
	// needFull is set until the peer has sent its whole list at needVector or
	// later: what this agent knew of the peer's flows may have gaps.
	needFull    bool
	needVector  service.Vector
	requestedAt time.Time
	// active, limit and placed estimate the room at the peer.
	active  uint32
	limit   uint32
	offered uint32
}

// coversVector reports whether the peer's flows are known under a vector.
func (p *peer) coversVector(v service.Vector) bool {
	return !p.needFull && p.synced.Covers(v)
}

// requireFullSync makes the peer list all its flows again.
func (p *peer) requireFullSync(v service.Vector) {
	p.needFull = true
	p.needVector = v
	p.requestedAt = time.Time{}
}

// recordSync notes a SyncMsg.
func (p *peer) recordSync(x SyncMsg) {
	p.synced = p.synced.Join(x.Vector)
	if x.Full && x.Vector.Covers(p.needVector) {
		p.needFull = false
	}
}

// hasRoom reports whether the peer seems to have a free place.
func (p *peer) hasRoom() bool {
	return p.active+p.offered < p.limit
}

// utilisation is the share of the peer's limit that is taken.
func (p *peer) utilisation() float64 {
	if p.limit == 0 {
		return 1
	}
	return float64(p.active+p.offered) / float64(p.limit)
}
