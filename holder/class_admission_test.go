package holder_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/stretchr/testify/require"
)

// TestRefusalAllocatesLittle guards agents with a quarter of a core in a burst of callers that
// are all refused: the only allocation is the RejectEffect that is returned.
func TestRefusalAllocatesLittle(t *testing.T) {
	s := newScript(true)
	s.model.Update(s.now, holder.HeartbeatMsg{
		ID:          "i-1",
		Incarnation: 1,
		Sequence:    1,
		Slots:       3,
	})
	s.model.Update(s.now, holder.EarlierRecordMsg{})
	s.model.Update(s.now, holder.RecordedMsg{
		Incarnation: 1,
	})
	s.model.SetServerLoad(func(time.Time) cost.Load {
		return cost.Load{
			Running: 3,
			Rest:    time.Minute,
		}
	})
	n := 0
	var msg holder.Msg = holder.DeliverMsg{
		From:    scriptBalancer,
		Service: scriptService,
		Segment: segment.Segment{
			Tuple: scriptFlow(1),
			Flags: segment.Syn,
		},
	}
	allocs := testing.AllocsPerRun(2000, func() {
		s.now = s.now.Add(time.Millisecond)
		for _, e := range s.model.Update(s.now, msg) {
			if _, ok := e.(holder.RejectEffect); ok {
				n++
			}
		}
	})
	require.Greater(t, n, 1000)
	require.LessOrEqual(t, allocs, 1.0)
}
