package holder_test

import (
	"testing"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// heldRequests returns functions that bring a request of 1,200 bytes on the next of 64 flows
// while 32 wait, and the response to the oldest running one, which starts another.
func heldRequests() (request, response func()) {
	const flows = 64
	s := newScript(false)
	s.startLoadAware(queue.Limits{}, 1, flows, 0)
	sequence := uint32(1)
	sent, answered := 0, 0
	var deliver holder.Msg
	// The messages are boxed in advance: the caller of Update allocates them.
	msgs := make([]holder.Msg, flows)
	responses := make([]holder.Msg, flows)
	data := make([]byte, 1200)
	fill := func() {
		for i := range msgs {
			msgs[i] = holder.DeliverMsg{
				From:    scriptBalancer,
				Service: scriptService,
				Segment: segment.Segment{
					Tuple:    scriptFlow(i + 1),
					Flags:    segment.Ack,
					Sequence: sequence,
					Length:   1000,
				},
				Data: data,
			}
			responses[i] = holder.OutboundMsg{
				Segment: segment.Segment{
					Tuple:    scriptFlow(i + 1),
					Flags:    segment.Ack,
					Sequence: sequence,
					Length:   100,
				},
			}
		}
	}
	fill()
	request = func() {
		if sent > 0 && sent%flows == 0 {
			sequence += 1000
			fill()
		}
		deliver = msgs[sent%flows]
		s.model.Update(s.now, deliver)
		sent++
	}
	response = func() {
		s.model.Update(s.now, responses[answered%flows])
		answered++
	}
	for range flows / 2 {
		request()
	}
	return request, response
}

// BenchmarkHeldRequest measures one request that waits, from its packet to its start by the
// response of an earlier one. Of the allocations, two are the messages, and two the effects of
// the response and of the started packet.
func BenchmarkHeldRequest(b *testing.B) {
	request, response := heldRequests()
	b.ReportAllocs()
	for b.Loop() {
		request()
		response()
	}
}

// TestHeldPacketDoesNotAllocate guards against memory that is not reused: a packet that waits
// allocates nothing, and its start only the two effects.
func TestHeldPacketDoesNotAllocate(t *testing.T) {
	request, response := heldRequests()
	for range 40 {
		request()
		response()
	}
	// 16 more requests stay within the flows and messages that were prepared.
	require.LessOrEqual(t, testing.AllocsPerRun(16, func() {
		request()
		response()
	}), 2.0)
}
