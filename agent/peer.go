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
	// synced joins the vectors of the peer's SyncMsgs. It counts only while
	// needFull is false.
	synced service.Vector
	// needFull is set until the peer has sent its complete list at needVector or
	// later, because what this agent knows of the peer's flows may have gaps.
	needFull    bool
	needVector  service.Vector
	requestedAt time.Time
	// active and limit are what the peer last reported, the limit lowered after a
	// refusal; offered counts the flows offered since. They estimate the room at
	// the peer.
	active  uint32
	limit   uint32
	offered uint32
}

// coversVector reports whether the peer's flows are known under a vector.
func (p *peer) coversVector(v service.Vector) bool {
	return !p.needFull && p.synced.Covers(v)
}

// requireFullSync requires the peer to list all its flows again.
func (p *peer) requireFullSync(v service.Vector) {
	p.needFull = true
	p.needVector = v
	p.requestedAt = time.Time{}
}

// recordSync records a SyncMsg.
func (p *peer) recordSync(x SyncMsg) {
	p.synced = p.synced.Join(x.Vector)
	if x.Full && x.Vector.Covers(p.needVector) {
		p.needFull = false
	}
}

// hasRoom reports whether the peer seems to have room for a flow.
func (p *peer) hasRoom() bool {
	return p.active+p.offered < p.limit
}

// utilisation returns the share of the peer's limit that is in use.
func (p *peer) utilisation() float64 {
	if p.limit == 0 {
		return 1
	}
	return float64(p.active+p.offered) / float64(p.limit)
}
