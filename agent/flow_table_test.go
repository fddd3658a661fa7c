package agent

import (
	"testing"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/stretchr/testify/require"
)

// TestEndOfAReplacedConnection ends an old connection after the caller has
// opened a new one from the same port: the new flow must not end with it.
func TestEndOfAReplacedConnection(t *testing.T) {
	x := newFlowTable()
	k := flow.Key{
		Source: 1,
		Port:   1,
	}
	old := x.add(k)
	x.abort(k)
	next := x.add(k)
	require.False(t, x.remove(k, old))
	require.False(t, x.attach(old, nil), "the old one was cut")
	require.True(t, x.attach(next, nil))
	require.True(t, x.remove(k, next))
	require.Equal(t, "no connection", x.describe(k))
}
