package service

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/target"
	"github.com/stretchr/testify/require"
)

func targets(weights ...uint32) []Target {
	var l []Target
	for i, w := range weights {
		l = append(l, Target{
			ID:           target.ID(fmt.Sprintf("t%d", i)),
			Weight:       w,
			HomeEligible: true,
		})
	}
	return l
}

func table(l []Target) *Table {
	return NewTable("liedlive", 1, netip.MustParseAddrPort("10.80.0.1:7000"), Vector{}, l)
}

func homes(t *Table) map[target.ID]int {
	m := map[target.ID]int{}
	for b := range flow.Bucket(BucketCount) {
		if h, ok := t.Home(b); ok {
			m[h.ID]++
		}
	}
	return m
}

func TestHomesFollowWeights(t *testing.T) {
	m := homes(table(targets(100, 100, 400)))
	require.Greater(t, m["t2"], m["t0"]+m["t1"])
}

// TestOnlyBucketsOfTheRemovedTargetMove makes one target ineligible as a home and
// compares the homes of all buckets before and after.
func TestOnlyBucketsOfTheRemovedTargetMove(t *testing.T) {
	l := targets(100, 200, 300, 400)
	before := table(l)
	l[1].HomeEligible = false
	after := table(l)
	for b := range flow.Bucket(BucketCount) {
		x, _ := before.Home(b)
		y, _ := after.Home(b)
		if x.ID != "t1" {
			require.Equal(t, x.ID, y.ID)
		}
		require.NotEqual(t, target.ID("t1"), y.ID)
	}
}

func TestNoHomeInADomainOutOfService(t *testing.T) {
	l := targets(100, 100)
	l[0].OutOfService = true
	require.Equal(t, map[target.ID]int{"t1": BucketCount}, homes(table(l)))
	l[1].OutOfService = true
	require.Empty(t, homes(table(l)))
}

func TestDrainingTargetsStayHomesWithoutOthers(t *testing.T) {
	l := targets(100, 100)
	l[0].HomeEligible = false
	l[1].HomeEligible = false
	require.Len(t, homes(table(l)), 2)
}

func TestVectorJoin(t *testing.T) {
	a := Vector{Intent: 2, Roster: 7}
	b := Vector{Intent: 3, Roster: 6}
	require.False(t, a.Covers(b))
	require.False(t, b.Covers(a))
	require.True(t, a.Join(b).Covers(a))
	require.True(t, a.Join(b).Covers(b))
}
