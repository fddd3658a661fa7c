package agent

import (
	"testing"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/stretchr/testify/require"
)

// TestEndOfAReplacedConnection ends an old connection after the caller has
// opened a new one from the same port: the new flow must continue.
func TestEndOfAReplacedConnection(t *testing.T) {
	table := newFlowTable()
	k := flow.Key{
		Source: 1,
		Port:   1,
	}
	old := table.add(k)
	table.abort(k)
	next := table.add(k)
	require.False(t, table.remove(k, old))
	require.False(t, table.attach(old, nil), "the old connection was aborted")
	require.True(t, table.attach(next, nil))
	require.True(t, table.remove(k, next))
	require.Equal(t, "no connection", table.describe(k))
}
