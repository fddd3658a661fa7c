package holder_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// TestEvictedFlowIsNotDenied guards against resets of open flows that were evicted from a full
// table: the agent does not know whether its backend server holds one.
func TestEvictedFlowIsNotDenied(t *testing.T) {
	const entries = 4
	start := time.Unix(1_800_000_000, 0)
	m := holder.NewModel(holder.Config{
		Service:    scriptService,
		MaxEntries: entries,
	}, start)
	now := start.Add(time.Minute)
	require.True(t, m.KnowsAllFlows(now))
	for i := range entries + 1 {
		now = now.Add(time.Millisecond)
		m.Update(now, holder.OutboundMsg{
			Segment: segment.Segment{
				Tuple: scriptFlow(i),
				Flags: segment.Ack,
			},
		})
	}
	unheld, unsure := 0, 0
	for i := range entries + 1 {
		r := m.Update(now, holder.QueryMsg{
			From: scriptBalancer,
			Flows: []holder.QueriedFlow{
				{
					Tuple: scriptFlow(i),
				},
			},
		})[0].(holder.ReplyEffect)
		unheld += len(r.Unheld)
		unsure += len(r.Unsure)
	}
	require.Zero(t, unheld)
	require.Equal(t, 1, unsure)
	require.True(t, m.KnowsAllFlows(now.Add(time.Minute)))
}

// TestWaitingFlowIsNotEvicted guards against the loss of waiting requests when the table is
// full.
func TestWaitingFlowIsNotEvicted(t *testing.T) {
	// All entries are sampled when a flow is evicted.
	const entries = 8
	s := newScript(false)
	s.maxEntries = entries
	s.startLoadAware(queue.Limits{}, 1, 2, 0)
	s.now = s.now.Add(time.Millisecond)
	for n := range 2 {
		x := segment.Segment{
			Tuple:    scriptFlow(2 - n),
			Flags:    segment.Ack,
			Sequence: 1,
			Length:   10,
		}
		s.update(holder.DeliverMsg{
			From:    scriptBalancer,
			Service: scriptService,
			Segment: x,
			Data:    packetData(x),
		})
	}
	require.Equal(t, 1, s.model.Stats().Queue[0].Waiting)
	for n := range entries {
		s.now = s.now.Add(time.Millisecond)
		s.update(holder.OutboundMsg{
			Segment: segment.Segment{
				Tuple: scriptFlow(10 + n),
				Flags: segment.Ack,
			},
		})
	}
	require.NotZero(t, s.model.Stats().Evicted)
	// The running request has left with its flow, and the other one has its slot.
	require.Equal(t, uint64(2), s.model.Stats().ToBackend)
}
