package roster

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

var start = time.Unix(1_800_000_000, 0)

func member(id string, incarnation uint64) *controlpb.Member {
	return &controlpb.Member{
		Target:      id,
		Incarnation: incarnation,
		Service:     "liedlive",
		Weight:      100,
		State:       controlpb.MemberState_MEMBER_STATE_JOINED,
	}
}

func follow(t *testing.T, to, from *Roster) {
	t.Helper()
	_, err := to.Merge(from.Since(to.Version, ""))
	require.NoError(t, err)
	require.Equal(t, from.Version, to.Version)
}

func TestLowerIncarnationIsFenced(t *testing.T) {
	g := NewRegistrar(NewRoster(), 1, start)
	require.True(t, g.Claim(member("a", 5), "b1"))
	require.False(t, g.Claim(member("a", 4), "b2"))
	require.Equal(t, uint64(5), g.roster.Member("a").GetIncarnation())
}

// TestLapseOfAMovedTarget lets two balancers claim a target. The suspicion and the
// lapse that the first reports are ignored, because the second claimed it last.
func TestLapseOfAMovedTarget(t *testing.T) {
	g := NewRegistrar(NewRoster(), 1, start)
	g.Claim(member("a", 1), "b1")
	g.Claim(member("a", 1), "b2")
	require.False(t, g.Lapse(member("a", 1), "b1"))
	suspect := member("a", 1)
	suspect.State = controlpb.MemberState_MEMBER_STATE_SUSPECT
	require.False(t, g.Claim(suspect, "b1"))
	require.True(t, g.Lapse(member("a", 1), "b2"))
	require.True(t, g.roster.Member("a").GetCrashed())
}

func TestUnclaimedMembersAreRemoved(t *testing.T) {
	g := NewRegistrar(NewRoster(), 1, start)
	g.Claim(member("a", 1), "b1")
	g.Claim(member("b", 1), "b1")
	g.BalancerLost("b1", start)
	require.False(t, g.Tick(start.Add(reclaimTimeout/2)))
	g.Claim(member("a", 1), "b2")
	require.True(t, g.Tick(start.Add(reclaimTimeout)))
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_JOINED, g.roster.Member("a").GetState())
	require.Equal(t, controlpb.MemberState_MEMBER_STATE_GONE, g.roster.Member("b").GetState())
}

// TestDivergedFollower lets a follower take a change of a registrar that the
// registrar's successor never received. The follower must refuse a delta of the
// successor and take its whole roster.
func TestDivergedFollower(t *testing.T) {
	first := NewRoster()
	g := NewRegistrar(first, 1, start)
	g.Claim(member("a", 1), "b1")
	successor := NewRoster()
	follow(t, successor, first)
	known := successor.Version
	g.Claim(member("x", 1), "b1")
	follower := NewRoster()
	follow(t, follower, first)
	require.NotNil(t, follower.Member("x"))

	NewRegistrar(successor, 2, start)
	_, err := follower.Merge(successor.Since(known, ""))
	require.ErrorIs(t, err, ErrGap)
	follow(t, follower, successor)
	require.Nil(t, follower.Member("x"))
	require.NotNil(t, follower.Member("a"))
}

func TestOldRosterChangesNothing(t *testing.T) {
	r := NewRoster()
	g := NewRegistrar(r, 2, start)
	g.Claim(member("a", 1), "b1")
	old := NewRoster()
	NewRegistrar(old, 1, start).Claim(member("a", 9), "b1")
	touched, err := r.Merge(old.Since(0, ""))
	require.NoError(t, err)
	require.Nil(t, touched)
	require.Equal(t, uint64(1), r.Member("a").GetIncarnation())
}

func TestGapIsRefused(t *testing.T) {
	r := NewRoster()
	_, err := r.Merge(&controlpb.Roster{Version: 9, Base: 5})
	require.ErrorIs(t, err, ErrGap)
	require.Zero(t, r.Version)
}

func TestSmallWeightChangesAreIgnored(t *testing.T) {
	g := NewRegistrar(NewRoster(), 1, start)
	g.Claim(member("a", 1), "b1")
	changed := proto.CloneOf(member("a", 1))
	changed.Weight = 110
	require.False(t, g.Claim(changed, "b1"))
	changed.Weight = 150
	require.True(t, g.Claim(changed, "b1"))
}
