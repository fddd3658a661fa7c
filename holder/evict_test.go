package holder_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/holder"
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
