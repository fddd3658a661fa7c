package holder_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// newRequests returns a script with an agent whose backend server has three slots and is open.
func newRequests(loadAware bool) *script {
	s := newScript(false)
	s.model = holder.NewModel(holder.Config{
		Service:   scriptService,
		LoadAware: loadAware,
	}, s.now)
	s.update(holder.EarlierRecordMsg{})
	s.update(holder.ConfigMsg{
		Version: 1,
	})
	s.update(holder.HeartbeatMsg{
		ID:          "i-1",
		Incarnation: 1,
		Sequence:    1,
		Slots:       3,
	})
	s.update(holder.RecordedMsg{
		Incarnation: 1,
	})
	return s
}

func (s *script) deliver(n int, flags segment.Flags, length uint16) {
	s.deliverAt(n, 100, flags, length)
}

// deliverAt delivers a packet of a caller with a sequence number.
func (s *script) deliverAt(n int, sequence uint32, flags segment.Flags, length uint16) {
	s.update(holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Segment: segment.Segment{
			Tuple:    scriptFlow(n),
			Sequence: sequence,
			Ack:      1001,
			Flags:    flags,
			Length:   length,
		},
	})
}

func (s *script) reply(n int, flags segment.Flags, length uint16) {
	s.update(holder.OutboundMsg{
		Segment: segment.Segment{
			Tuple:    scriptFlow(n),
			Sequence: 1000,
			Flags:    flags,
			Length:   length,
		},
	})
}

// request opens a flow with a request.
func (s *script) request(n int) {
	s.deliver(n, segment.Syn, 0)
	s.reply(n, segment.Syn|segment.Ack, 0)
	s.deliver(n, segment.Ack, 200)
}

// respond lets time pass, and then sends the response on a flow and closes it.
func (s *script) respond(n int, after time.Duration) {
	s.now = s.now.Add(after)
	s.reply(n, segment.Ack|segment.Fin, 800)
	s.deliver(n, segment.Ack|segment.Fin, 0)
}

func (s *script) load() cost.Load {
	return s.model.Report(s.now).Load
}

var requestRoute = routing.AddressOf(scriptFlow(0))

// TestServiceTimeIsLearned guards against costs that are not those of the requests, and against a
// load that does not have the rest of a running request.
func TestServiceTimeIsLearned(t *testing.T) {
	s := newRequests(true)
	for n := range 100 {
		s.request(n)
		s.respond(n, 20*time.Millisecond)
	}
	l := s.load()
	require.Zero(t, l.Running)
	require.Len(t, l.Routes, 1)
	require.Equal(t, requestRoute, l.Routes[0].Route)
	require.InDelta(t, 20, l.Routes[0].Mean.Seconds()*1000, 1)
	require.InDelta(t, 100, l.Routes[0].Samples, 1)
	require.InDelta(t, 1, l.Routes[0].RequestsPerFlow, 0.01)
	s.request(100)
	s.now = s.now.Add(5 * time.Millisecond)
	l = s.load()
	require.EqualValues(t, 1, l.Running)
	require.InDelta(t, 15, l.Rest.Seconds()*1000, 1.5)
}

// TestWaitingIsNoServiceTime guards against the time of requests that wait at the backend server
// behind others, which would make a loaded server look slow, and against their rest counting as
// that of running ones.
func TestWaitingIsNoServiceTime(t *testing.T) {
	s := newRequests(true)
	for n := range 300 {
		s.reply(n, segment.Ack, 0)
	}
	// Requests do not wait at the agent while the backend server drains.
	s.update(holder.HeartbeatMsg{
		ID:          "i-1",
		Incarnation: 1,
		Sequence:    2,
		Slots:       3,
		Draining:    true,
	})
	for n := 0; n < 300; n += 6 {
		for i := range 6 {
			s.deliver(n+i, segment.Ack, 200)
		}
		if n == 294 {
			require.InDelta(t, 6*20, s.load().Rest.Seconds()*1000, 8)
		}
		// Three are processed at once, in order of arrival.
		for i := range 6 {
			if i%3 == 0 {
				s.now = s.now.Add(20 * time.Millisecond)
			}
			s.respond(n+i, 0)
		}
	}
	c, ok := s.load().Cost(requestRoute)
	require.True(t, ok)
	require.InDelta(t, 300, c.Samples, 2)
	require.InDelta(t, 20, c.Mean.Seconds()*1000, 1)
}

// TestResponseBeforePauseOfFlowIsObserved guards against a slow backend server that is detected
// only at the next request of a flow that stays open.
func TestResponseBeforePauseOfFlowIsObserved(t *testing.T) {
	s := newRequests(true)
	for n := range 3 {
		s.request(n)
		s.now = s.now.Add(60 * time.Millisecond)
		s.reply(n, segment.Ack, 800)
	}
	require.Empty(t, s.load().Routes)
	s.wait(200 * time.Millisecond)
	require.EqualValues(t, 3, s.load().Routes[0].Samples)
	for n := range 3 {
		s.deliverAt(n, 300, segment.Ack, 200)
	}
	require.EqualValues(t, 3, s.load().Routes[0].Samples, "a response is observed once")
	require.InDelta(t, 2, s.load().Routes[0].RequestsPerFlow, 0.01)
}

// TestLostResponseIsUsualLoad guards against a request without a response that counts with a long
// expected rest for seconds, and against a backend server that looks idle because it does not
// respond: at a site with servers that hang, it drew flows until its failures were recognised.
func TestLostResponseIsUsualLoad(t *testing.T) {
	s := newRequests(true)
	for n := range 100 {
		s.request(n)
		s.respond(n, 20*time.Millisecond)
	}
	s.request(100)
	s.now = s.now.Add(240 * time.Millisecond)
	require.EqualValues(t, 1, s.load().Running)
	require.LessOrEqual(t, s.load().Rest, 25*time.Millisecond)
	s.now = s.now.Add(20 * time.Millisecond)
	require.EqualValues(t, 1, s.load().Running)
	require.InDelta(t, 20, s.load().Rest.Seconds()*1000, 1)
	s.wait(4 * time.Second)
	require.Zero(t, s.load().Running, "the request has timed out")
}

// TestPausedAgentLearnsNothing guards against the time of a pause of the agent's process that
// counts as work of the backend server.
func TestPausedAgentLearnsNothing(t *testing.T) {
	s := newRequests(true)
	s.request(1)
	s.now = s.now.Add(2 * time.Second)
	s.update(holder.ResumedMsg{})
	s.respond(1, time.Millisecond)
	s.wait(200 * time.Millisecond)
	require.Empty(t, s.load().Routes)
}

// TestRestartedAgentTakesServiceCosts guards against the default cost at an agent to which a
// balancer has sent the costs of its service.
func TestRestartedAgentTakesServiceCosts(t *testing.T) {
	for _, loadAware := range []bool{true, false} {
		s := newRequests(loadAware)
		s.update(holder.ReportRequestMsg{
			From: scriptBalancer,
			Costs: []cost.RouteCost{
				{
					Route:   requestRoute,
					Mean:    4 * time.Millisecond,
					P50:     4 * time.Millisecond,
					P90:     5 * time.Millisecond,
					P99:     6 * time.Millisecond,
					Samples: 1000,
				},
			},
		})
		s.request(1)
		if loadAware {
			require.InDelta(t, 4, s.load().Rest.Seconds()*1000, 0.2)
		} else {
			require.Equal(t, cost.Load{}, s.load())
		}
	}
}

// TestLoadIsEmptyUnlessLoadAware guards against reports that change where no contract requires it.
func TestLoadIsEmptyUnlessLoadAware(t *testing.T) {
	s := newRequests(false)
	for n := range 50 {
		s.request(n)
		s.respond(n, 20*time.Millisecond)
	}
	s.request(50)
	s.wait(time.Second)
	require.Equal(t, cost.Load{}, s.load())
	require.Zero(t, s.model.Report(s.now).Failures)
}

// BenchmarkRequest has a request and its response on an open flow, without and with what is
// learned from them.
func BenchmarkRequest(b *testing.B) {
	for name, loadAware := range map[string]bool{"unaware": false, "load aware": true} {
		b.Run(name, func(b *testing.B) {
			s := newRequests(loadAware)
			s.request(1)
			request := holder.DeliverMsg{
				From:    scriptBalancer,
				Service: scriptService,
				Segment: segment.Segment{
					Tuple:  scriptFlow(1),
					Ack:    1001,
					Flags:  segment.Ack,
					Length: 200,
				},
			}
			response := holder.OutboundMsg{
				Segment: segment.Segment{
					Tuple:  scriptFlow(1),
					Flags:  segment.Ack,
					Length: 800,
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				s.model.Update(s.now, request)
				request.Segment.Sequence += uint32(request.Segment.Length)
				s.now = s.now.Add(20 * time.Millisecond)
				s.model.Update(s.now, response)
				response.Segment.Sequence += uint32(response.Segment.Length)
			}
		})
	}
}
