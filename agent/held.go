package agent

import "time"

// heldQueue is a bounded queue, in order of arrival, of packets that wait until
// it is known which agent holds their flow. When it is full the newest packet
// is dropped.
type heldQueue struct {
	packets []PacketMsg
}

// push appends a packet and reports whether there was room. A packet that is
// held again keeps its first deadline.
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

// take returns all packets and empties the queue.
func (q *heldQueue) take() []PacketMsg {
	p := q.packets
	q.packets = nil
	return p
}
