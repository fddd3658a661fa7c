package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/outlier"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawServers(t *rapid.T) []outlier.Server {
	n := rapid.IntRange(0, 40).Draw(t, "servers")
	l := make([]outlier.Server, n)
	for i := range l {
		share := float64(rapid.IntRange(0, 10).Draw(t, "share")) / 10
		l[i] = outlier.Server{
			Index:   i,
			Name:    fmt.Sprint("side-", i),
			Share:   share,
			Failing: share >= outlier.FailingShare,
		}
	}
	return l
}

// TestEjectIsBounded guards against ejection of so many targets that the others cannot serve the
// service, of targets that are not failing, and of a less bad one instead of a worse one.
func TestEjectIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawServers(t)
		failing := 0
		for _, s := range l {
			if s.Failing {
				failing++
			}
		}
		ejected := outlier.Eject(l)
		require.LessOrEqual(t, 3*len(ejected), len(l))
		if len(l) < 3 || 2*failing >= len(l) {
			require.Empty(t, ejected)
			return
		}
		require.Len(t, ejected, min(failing, len(l)/3))
		for _, s := range ejected {
			require.True(t, s.Failing)
			for _, other := range l[len(ejected):] {
				require.False(t, other.Failing && other.Share > s.Share)
			}
		}
	})
}

// TestBalancersAgree guards against balancers that eject different targets by the same shares, so
// that together they would eject more than a third.
func TestBalancersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawServers(t)
		other := append([]outlier.Server(nil), l...)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).Shuffle(len(other), func(i, j int) {
			other[i], other[j] = other[j], other[i]
		})
		require.Equal(t, outlier.Eject(l), outlier.Eject(other))
	})
}

// TestShareFallsInTime guards against an ejected server that does not return within ReturnTimeout
// after its latest failure, and against shares that are no shares.
func TestShareFallsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		var m outlier.Monitor
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			m.Record(now, rapid.IntRange(0, 9).Draw(t, "failed") > 0)
			require.GreaterOrEqual(t, m.Share(), 0.0)
			require.LessOrEqual(t, m.Share(), 1.0)
		}
		m.Advance(now.Add(outlier.ReturnTimeout - 200*time.Millisecond))
		require.False(t, m.Failing())
	})
}

func BenchmarkRecord(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	var m outlier.Monitor
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Record(now, false)
	}
}
