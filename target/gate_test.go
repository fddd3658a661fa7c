package target

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func newTestGate() *Gate {
	return NewGate(GateConfig{
		Limit:     2000,
		ColdShare: 0.1,
		Warmup:    10 * time.Second,
	}, start)
}

func TestColdGateAdmitsFewFlows(t *testing.T) {
	g := newTestGate()
	n := 0
	for g.Admit(start) {
		n++
	}
	require.Equal(t, 50, n, "ColdShare, a tenth, of the slowest server's quarter of the limit")
	require.False(t, g.Admit(start.Add(time.Millisecond)))
	g.Release()
	require.True(t, g.Admit(start.Add(time.Millisecond)))
}

// TestLearnsCapacity reports correct but lagging loads of servers whose speeds differ
// by a factor of four, and expects each learned capacity within a tenth.
func TestLearnsCapacity(t *testing.T) {
	for _, real := range []float64{500, 1000, 2000} {
		g := newTestGate()
		now := start
		reports := []float64{}
		for range 400 {
			now = now.Add(250 * time.Millisecond)
			for range 20 {
				g.Admit(now)
			}
			reports = append(reports, float64(g.Active())/real)
			if n := len(reports); n > 2 {
				g.ObserveLoad(now, reports[n-3])
			}
			require.LessOrEqual(t, float64(g.Active()), 1.05*real, "capacity %v", real)
		}
		require.InEpsilon(t, real, g.Capacity(), 0.1)
		require.Zero(t, g.Restarts())
	}
}

// TestMisleadingReports feeds zero, frozen and absurd reports: none of them lets
// the gate admit more than its configured limit, and reports that are not positive do
// not change the assumed capacity.
func TestMisleadingReports(t *testing.T) {
	for _, report := range []float64{0, 0.001, -1, 1e9} {
		g := newTestGate()
		now := start
		r := rand.New(rand.NewPCG(1, 1))
		for range 400 {
			now = now.Add(250 * time.Millisecond)
			for range r.IntN(20) {
				g.Admit(now)
			}
			if r.IntN(3) == 0 {
				g.Release()
			}
			g.ObserveLoad(now, report)
		}
		require.LessOrEqual(t, g.Active(), uint32(2000))
		if report <= 0 {
			require.Equal(t, uint32(500), g.Capacity())
		}
	}
}

// TestUnreportedColdIsDetectedByLatency has a target that becomes cold again and does not
// report it: only its response times show it.
func TestUnreportedColdIsDetectedByLatency(t *testing.T) {
	g := newTestGate()
	now := start.Add(time.Minute)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		require.False(t, g.ObserveLatency(now, 2*time.Millisecond))
	}
	turnedCold := now
	for !g.ObserveLatency(now, 40*time.Millisecond) {
		now = now.Add(10 * time.Millisecond)
		require.Less(t, now.Sub(turnedCold), 2*time.Second)
	}
	require.True(t, g.Cold(now))
	require.Equal(t, uint32(50), g.Limit(now))
}

// TestStallIsNoRestart has repeated seconds without any response and a slow response
// after each: these must not be taken for a restart.
func TestStallIsNoRestart(t *testing.T) {
	g := newTestGate()
	now := start.Add(time.Minute)
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		d := 2 * time.Millisecond
		if i%500 == 499 {
			now = now.Add(time.Second)
			d = time.Second
		}
		require.False(t, g.ObserveLatency(now, d))
	}
}

func TestLossOfManyIsARestart(t *testing.T) {
	g := newTestGate()
	now := start.Add(time.Minute)
	for range 100 {
		g.Admit(now)
	}
	detected := false
	for range 60 {
		g.Release()
		detected = g.ObserveLoss(now) || detected
	}
	require.True(t, detected)
	require.True(t, g.Cold(now))
}
