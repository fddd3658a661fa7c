package service_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/roster"
	"github.com/lentilshed/lentilshed/service"
	"github.com/stretchr/testify/require"
)

// TestTargetThatChangesItsService guards against a target that stays in the table of a service
// that it has left: balancers, and the agents of that service, which get only its members, must
// build a table without the target, at a higher vector. The target was drained before, so its
// part of the vector must not be lost either.
func TestTargetThatChangesItsService(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := intent.NewEdit(intent.NewDocument("bayern"))
	for _, name := range []string{"liedlive", "ordo"} {
		e.PutService(&controlpb.Service{
			Name:    name,
			Address: "10.80.0.1:7000",
		})
	}
	e = intent.NewEdit(e.Done(&controlpb.Operation{}))
	e.SetDraining("t1", true, time.Time{})
	d := e.Done(&controlpb.Operation{})
	r := roster.NewRoster()
	g := roster.NewRegistrar(r, 1, now)
	claim := func(id string, incarnation uint64, name string) {
		require.True(t, g.Claim(&controlpb.Member{
			Target:        id,
			Incarnation:   incarnation,
			Service:       name,
			PacketAddress: "10.1.0.1:1",
			State:         controlpb.MemberState_MEMBER_STATE_JOINED,
		}, "b1"))
	}
	claim("t1", 1, "liedlive")
	claim("t2", 1, "liedlive")
	balancer, agent := roster.NewRoster(), roster.NewRoster()
	follow := func(x *roster.Roster, limit string) []string {
		touched, err := x.Merge(r.Since(x.Version, limit))
		require.NoError(t, err)
		return touched
	}
	follow(balancer, "")
	follow(agent, "liedlive")
	before := service.BuildTable("liedlive", d, balancer)
	require.Len(t, before.Targets, 2)

	claim("t1", 2, "ordo")
	require.Equal(t, []string{"liedlive", "ordo"}, follow(balancer, ""))
	require.Contains(t, follow(agent, "liedlive"), "liedlive")
	started := roster.NewRoster()
	follow(started, "liedlive")
	for _, x := range []*roster.Roster{r, balancer, agent, started} {
		table := service.BuildTable("liedlive", d, x)
		require.Len(t, table.Targets, 1)
		require.True(t, table.Vector.Covers(before.Vector))
		require.NotEqual(t, before.Vector, table.Vector)
		require.Equal(t, service.BuildTable("liedlive", d, r).Vector, table.Vector)
	}
	claim("t1", 3, "liedlive")
	follow(agent, "liedlive")
	require.Len(t, service.BuildTable("liedlive", d, agent).Targets, 2)
	require.Empty(t, service.BuildTable("ordo", d, r).Targets)
}
