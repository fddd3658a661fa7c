package target_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
)

// TestColdBudgetHoldsInAnySecond offers a flood of flows: no span of one second has
// more than the target can handle, and the first second after a start has none.
func TestColdBudgetHoldsInAnySecond(t *testing.T) {
	const rate = 8
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	start := now
	b := target.NewColdBudget(now)
	var admitted []time.Time
	for now.Before(start.Add(5 * time.Second)) {
		if b.Admit(now, rate) {
			admitted = append(admitted, now)
		}
		now = now.Add(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
	}
	require.False(t, admitted[0].Before(start.Add(time.Second)))
	require.Greater(t, len(admitted), 3*rate)
	for i := range admitted {
		n := 0
		for _, x := range admitted[i:] {
			if x.Sub(admitted[i]) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, rate)
	}
}
