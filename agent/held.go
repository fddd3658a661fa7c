package agent

import "time"

// heldQueue is a bounded queue of packets that wait until their flow's place is
// known, in order of arrival. When it is full the newest packet is dropped.
type heldQueue struct {
	packets []PacketMsg
}

// push reports whether there was room. A packet that waits again keeps its
// first deadline.
func (q *heldQueue) push(p PacketMsg, now time.Time) bool {
	if len(q.packets) >= maxHeldPackets {
		return false
	}
	if p.expires.IsZero() {
		p.expires = now.Add(holdTimeout)
	}
	q.packets = append(q.packets, p)
	return true
}

// take empties the queue.
func (q *heldQueue) take() []PacketMsg {
	p := q.packets
	q.packets = nil
	return p
}
