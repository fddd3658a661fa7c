package holder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// exchange is a flow that carries requests one after another. A new one is opened when it has
// ended.
type exchange struct {
	flow   int
	open   bool
	caller uint32
	server uint32
}

const (
	exchangeRequest = 100
	exchangePacket  = 1400
)

// exchangeAll sends requests and their responses of a length after some time, and prints the
// reports, the logs and what was learned of failures. Instead of a response, the backend server
// resets the flow (rst), the caller does (leave), or nothing comes (len=0).
func (s *script) exchangeAll(t *testing.T, x *datadriven.TestData) string {
	var b strings.Builder
	for range max(number(t, x, "requests"), 1) {
		for _, l := range strings.Split(s.exchangeOne(t, x), "\n") {
			if strings.HasPrefix(l, "log") || strings.HasPrefix(l, "reset") || l == "report" {
				fmt.Fprintln(&b, l)
			}
		}
	}
	e := s.model.Report(s.now).Failures
	fmt.Fprintf(&b, "share %d%% of %.0f", e.Percent(), e.Samples)
	for f, n := range s.model.Stats().FailedResponses {
		if n > 0 {
			fmt.Fprintf(&b, ", %s %d", outlier.Failure(f), n)
		}
	}
	return b.String()
}

func (s *script) exchangeOne(t *testing.T, x *datadriven.TestData) string {
	var b strings.Builder
	c := &s.exchange
	class := routing.Class{
		Timeout: time.Duration(number(t, x, "timeout_ms")) * time.Millisecond,
	}
	if !c.open {
		c.flow++
		c.open = true
		c.caller = 1000
		c.server = 5000
		b.WriteString(s.sendExchange(class, segment.Syn, 0))
		c.caller++
		b.WriteString(s.answerExchange(segment.Syn|segment.Ack, 0))
		c.server++
	}
	b.WriteString(s.sendExchange(class, segment.Ack, exchangeRequest))
	c.caller += exchangeRequest
	s.now = s.now.Add(time.Duration(number(t, x, "ms")) * time.Millisecond)
	b.WriteString(s.update(holder.TickMsg{}))
	switch {
	case x.HasArg("rst"):
		b.WriteString(s.answerExchange(segment.Rst, 0))
		c.open = false
	case x.HasArg("leave"):
		b.WriteString(s.sendExchange(class, segment.Rst, 0))
		c.open = false
	}
	for rest := number(t, x, "len"); rest > 0; {
		n := min(rest, exchangePacket)
		b.WriteString(s.answerExchange(segment.Ack, uint16(n)))
		if x.HasArg("repeated") {
			b.WriteString(s.answerExchange(segment.Ack, uint16(n)))
		}
		c.server += uint32(n)
		rest -= n
	}
	return b.String()
}

func (s *script) sendExchange(class routing.Class, f segment.Flags, length uint16) string {
	return s.update(holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Class:   class,
		Segment: s.exchangeSegment(s.exchange.caller, s.exchange.server, f, length),
	})
}

func (s *script) answerExchange(f segment.Flags, length uint16) string {
	return s.update(holder.OutboundMsg{
		Segment: s.exchangeSegment(s.exchange.server, s.exchange.caller, f, length),
	})
}

func (s *script) exchangeSegment(sequence, ack uint32, f segment.Flags, length uint16) segment.Segment {
	return segment.Segment{
		Tuple:    scriptFlow(40000 + s.exchange.flow),
		Flags:    f,
		Sequence: sequence,
		Ack:      ack,
		Length:   length,
	}
}

// BenchmarkPackets measures a request and its response at an agent, with and without detection.
func BenchmarkPackets(b *testing.B) {
	for _, aware := range []bool{false, true} {
		b.Run(fmt.Sprintf("load_aware=%v", aware), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			m := holder.NewModel(holder.Config{
				Service:   scriptService,
				LoadAware: aware,
			}, now)
			caller, server := uint32(1), uint32(1)
			t := scriptFlow(1)
			m.Update(now, holder.OutboundMsg{
				Segment: benchmarkSegment(t, server, caller, 0),
			})
			b.ReportAllocs()
			for b.Loop() {
				m.Update(now, holder.DeliverMsg{
					Service: scriptService,
					Segment: benchmarkSegment(t, caller, server, exchangeRequest),
				})
				caller += exchangeRequest
				now = now.Add(10 * time.Millisecond)
				m.Update(now, holder.OutboundMsg{
					Segment: benchmarkSegment(t, server, caller, exchangePacket),
				})
				server += exchangePacket
				m.Update(now, holder.TickMsg{})
			}
			require.Equal(b, aware, m.Report(now).Failures.Samples > 0)
		})
	}
}

func benchmarkSegment(t flow.Tuple, sequence, ack uint32, length uint16) segment.Segment {
	return segment.Segment{
		Tuple:    t,
		Flags:    segment.Ack,
		Sequence: sequence,
		Ack:      ack,
		Length:   length,
	}
}
