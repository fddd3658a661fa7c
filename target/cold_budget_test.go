package target_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
)

// TestColdBudgetHoldsInAnySecond offers a flood of flows: no span of one second
// has more than the target bears, and the first second after a start has none.
func TestColdBudgetHoldsInAnySecond(t *testing.T) {
	const rate = 8
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	start := now
	b := target.NewColdBudget(now)
	var given []time.Time
	for now.Before(start.Add(5 * time.Second)) {
		if b.Admit(now, rate) {
			given = append(given, now)
		}
		now = now.Add(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
	}
	require.False(t, given[0].Before(start.Add(time.Second)))
	require.Greater(t, len(given), 3*rate)
	for i := range given {
		n := 0
		for _, x := range given[i:] {
			if x.Sub(given[i]) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, rate)
	}
}
