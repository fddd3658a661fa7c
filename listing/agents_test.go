package listing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/listing"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

func agent(name string, port int) director.Member {
	return director.Member{
		Name:    name,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, 1}), uint16(port)),
		Service: "boards",
		Domain:  "domain-a",
	}
}

// TestChangesLeadToTheSameList has one list follow the store and another follow the
// first at random moments, over more changes than are kept.
func TestChangesLeadToTheSameList(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		first := listing.NewAgents()
		second := listing.NewAgents()
		first.Apply(director.MemberChanges{
			Full: true,
		}, 10)
		fetches := 0
		for i := range 3000 {
			at := store.Revision(11 + 2*i)
			n := fmt.Sprintf("agent-%d", r.IntN(40))
			c := director.MemberChanges{
				Listed: []director.Member{agent(n, r.IntN(3)+1)},
			}
			if r.IntN(3) == 0 {
				c = director.MemberChanges{
					Removed: []string{n},
				}
			}
			first.Apply(c, at)
			if r.IntN(200) == 0 {
				fetches++
				c, at := first.Since(store.Revision(second.State().Revision))
				second.Apply(c, at)
				require.Equal(t, first.State(), second.State())
			}
		}
		require.Positive(t, fetches)
	}
}

// TestWholeListIsSentOnce checks that a balancer that has the list gets only changes.
func TestWholeListIsSentOnce(t *testing.T) {
	a := listing.NewAgents()
	a.Apply(director.MemberChanges{
		Full:   true,
		Listed: []director.Member{agent("a", 1), agent("b", 2)},
	}, 50)
	c, at := a.Since(0)
	require.True(t, c.Full)
	require.Len(t, c.Listed, 2)
	require.Equal(t, store.Revision(50), at)

	a.Apply(director.MemberChanges{
		Full:   true,
		Listed: []director.Member{agent("a", 1), agent("c", 3)},
	}, 60)
	c, at = a.Since(50)
	require.Equal(t, director.MemberChanges{
		Listed:  []director.Member{agent("c", 3)},
		Removed: []string{"b"},
	}, c)
	require.Equal(t, store.Revision(60), at)

	before := a.State()
	require.False(t, a.Apply(director.MemberChanges{
		Full: true,
	}, 55))
	require.False(t, a.Apply(director.MemberChanges{
		Removed: []string{"a"},
	}, 55))
	require.Equal(t, before, a.State(), "changes to an older revision are ignored")
}
