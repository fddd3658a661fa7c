package holder_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
)

// startLoadAware replaces the model by a load-aware one whose backend server holds some flows.
func (s *script) startLoadAware(l queue.Limits, slots, flows, ahead int) {
	s.model = holder.NewModel(holder.Config{
		Service:    scriptService,
		MaxEntries: s.maxEntries,
		Balancers:  []netip.AddrPort{scriptBalancer},
		LoadAware:  true,
		Queue:      l,
		Ahead:      ahead,
		OverdueAfter: func(routing.Address) time.Duration {
			return scheduleOverdue
		},
	}, s.now)
	s.slots = uint32(slots)
	s.loadAware = true
	s.update(holder.EarlierRecordMsg{})
	s.update(holder.HeartbeatMsg{
		ID:          "i-1",
		Incarnation: 5,
		Sequence:    1,
		Slots:       s.slots,
	})
	s.update(holder.RecordedMsg{
		Incarnation: 5,
	})
	for i := range flows {
		s.update(holder.OutboundMsg{
			Segment: segment.Segment{
				Tuple: scriptFlow(i + 1),
				Flags: segment.Ack,
			},
		})
	}
}

// requests sends one packet with payload on each of some flows, a millisecond apart.
func (s *script) requests(t *testing.T, x *datadriven.TestData) string {
	var b strings.Builder
	m := s.message(t, x).(holder.DeliverMsg)
	for n := number(t, x, "from"); n <= number(t, x, "to"); n++ {
		m.Segment.Tuple = scriptFlow(n)
		m.Data = packetData(m.Segment)
		b.WriteString(s.update(m))
		s.now = s.now.Add(time.Millisecond)
	}
	return b.String()
}

// queue prints the counters of the queue by priority, and whether the agent is quiet.
func (s *script) queue() string {
	var b strings.Builder
	for p, q := range s.model.Stats().Queue {
		if q != (holder.QueueStats{}) {
			started := uint64(0)
			for _, n := range q.Waits {
				started += n
			}
			fmt.Fprintf(&b, "priority %d: waiting %d started %d full %d expired %d\n", p, q.Waiting, started, q.Full, q.Expired)
		}
	}
	fmt.Fprintf(&b, "quiet %v\n", s.model.Quiet(s.now))
	return b.String()
}

// packetData returns the text that stands for a packet's bytes: flow, sequence numbers and FIN.
func packetData(s segment.Segment) []byte {
	b := fmt.Appendf(nil, "%d:%d+%d", s.Tuple.CallerPort, s.Sequence, s.Length)
	if s.Has(segment.Fin) {
		b = append(b, " fin"...)
	}
	return b
}
