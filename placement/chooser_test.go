package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/placement"
	"github.com/stretchr/testify/require"
)

// rush replays the load after everything has lost power: several balancers
// place thousands of flows between two reports of the targets. It returns the
// flows of the target that got the most, over the mean.
func rush(targets, balancers, flows, reports int) float64 {
	c := placement.DefaultConfig()
	r := rand.New(rand.NewPCG(7, 7))
	got := make([]int, targets)
	for range reports {
		reported := make([]placement.Candidate, targets)
		for i := range reported {
			reported[i] = placement.Candidate{
				Local: true,
				Slots: 3,
				Busy:  float64(got[i]) * 0.02,
				Flows: uint32(got[i]),
			}
		}
		for range balancers {
			seen := append([]placement.Candidate(nil), reported...)
			for range flows / reports / balancers {
				i, _, _ := c.Choose(seen, r.Uint64())
				seen[i].Placed++
				got[i]++
			}
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	return float64(most) * float64(targets) / float64(flows)
}

// TestRushIsSpread holds for the targets of one domain of the users' grown
// deployments. With the least used of all, one target got three times the mean.
func TestRushIsSpread(t *testing.T) {
	require.Less(t, rush(9, 5, 1800, 4), 1.4)
	require.Less(t, rush(5, 5, 1800, 4), 1.4)
}

func TestLocalTargetsComeFirst(t *testing.T) {
	c := placement.DefaultConfig()
	members := []placement.Candidate{
		{
			Local: true,
			Slots: 4,
			Busy:  2,
			Flows: 100,
		},
		{
			Slots: 4,
			Flows: 10,
		},
	}
	i, _, ok := c.Choose(members, 1)
	require.True(t, ok)
	require.Equal(t, 0, i, "half of the slots are free at home")
	members[0].Busy = 3.6
	i, _, _ = c.Choose(members, 1)
	require.Equal(t, 1, i, "the domain has outgrown its targets")
	members[1].Busy = 3
	i, _, _ = c.Choose(members, 1)
	require.Equal(t, 0, i, "the gain is less than the cost of bytes between domains")
}

func TestSilentAndColdTargetsComeLast(t *testing.T) {
	c := placement.DefaultConfig()
	members := []placement.Candidate{
		{
			Local:   true,
			Slots:   4,
			Silence: 2 * time.Second,
		},
		{
			Slots: 4,
			Busy:  4,
		},
	}
	i, _, _ := c.Choose(members, 1)
	require.Equal(t, 1, i)
	i, _, ok := c.Choose(members[:1], 1)
	require.True(t, ok, "a silent target is better than none")
	require.Equal(t, 0, i)
	members[0].Silence = 0
	members[0].Cold = true
	members[1].Local = true
	members[1].Busy = 0.5
	i, _, _ = c.Choose(members, 1)
	require.Equal(t, 1, i)
	_, _, ok = c.Choose(nil, 1)
	require.False(t, ok)
}
