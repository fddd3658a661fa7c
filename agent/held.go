package agent

import "time"

// heldPacket is a packet that waits until its flow's place is known.
type heldPacket struct {
	msg     PacketMsg
	expires time.Time
}

// heldQueue is a bounded queue of packets in order of arrival. When it is full
// the newest packet is dropped.
type heldQueue struct {
	packets []heldPacket
}

// push reports whether there was room.
func (q *heldQueue) push(p PacketMsg, now time.Time) bool {
	if len(q.packets) >= heldPackets {
		return false
	}
	q.packets = append(q.packets, heldPacket{
		msg:     p,
		expires: now.Add(holdTimeout),
	})
	return true
}

// take empties the queue.
func (q *heldQueue) take() []heldPacket {
	p := q.packets
	q.packets = nil
	return p
}
