package freshness_test

import (
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/freshness"
	"github.com/stretchr/testify/require"
)

// TestMissingConfirmationIsReportedOnce keeps all confirmations from a balancer for a while.
func TestMissingConfirmationIsReportedOnce(t *testing.T) {
	m := freshness.NewModel(freshness.Config{
		Name:          "balancer-0",
		Address:       peerAt(0),
		MaxConfigAge:  configAge,
		MaxDomainsAge: domainsAge,
		MaxAgentsAge:  agentsAge,
	})
	var unconfirmed []freshness.UnconfirmedEffect
	var again []freshness.ConfirmedAgainEffect
	update := func(now time.Time, msg freshness.Msg) {
		for _, e := range m.Update(now, msg) {
			switch x := e.(type) {
			case freshness.UnconfirmedEffect:
				unconfirmed = append(unconfirmed, x)
			case freshness.ConfirmedAgainEffect:
				again = append(again, x)
			}
		}
	}
	update(start, adoptedMsg(freshness.KindConfig, 1))
	update(start, freshness.ConfirmedMsg{
		Kind: freshness.KindConfig,
		At:   start,
	})
	end := start.Add(5 * time.Second)
	for now := start; now.Before(end); now = now.Add(step) {
		update(now, freshness.TickMsg{})
	}
	require.Len(t, unconfirmed, 1)
	require.Equal(t, freshness.KindConfig, unconfirmed[0].Kind)
	require.Greater(t, unconfirmed[0].Age, configAge)
	require.Equal(t, 5*time.Second, m.Age(end, freshness.KindConfig))
	require.Empty(t, again)
	confirm := func(at time.Time) {
		update(end, freshness.ConfirmedMsg{
			Kind: freshness.KindConfig,
			At:   at,
		})
		update(end, freshness.TickMsg{})
	}
	confirm(start.Add(time.Second))
	require.Empty(t, again, "a confirmation that is too old itself ends nothing")
	confirm(end)
	confirm(end)
	require.Equal(t, []freshness.ConfirmedAgainEffect{
		{
			Kind: freshness.KindConfig,
			Age:  5*time.Second - step,
		},
	}, again)
}
