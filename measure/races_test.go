package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRacesKeepEveryChange makes conflicting changes under faults for a short
// time and checks that no accepted change is lost, reverted or applied twice, and
// that all balancers have the stored revision at the end.
func TestRacesKeepEveryChange(t *testing.T) {
	r, err := RunRaces(RacesConfig{
		Balancers: 5,
		Operators: 4,
		Length:    12 * time.Second,
		Seed:      5,
		Faults:    true,
	})
	require.NoError(t, err)
	require.Positive(t, r.Accepted)
	require.Zero(t, r.Lost)
	require.Zero(t, r.Reverted)
	require.Zero(t, r.AppliedTwice)
	require.Zero(t, r.InstancesDisagreeing)
}
