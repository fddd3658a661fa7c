package integration

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// span is the part of an exported trace span that the test reads.
type span struct {
	Name        string
	SpanContext struct {
		TraceID string
	}
}

// TestSpansOfAFlowShareATrace expects all spans of the only flow, of balancer and
// agent, to have the same trace ID.
func TestSpansOfAFlowShareATrace(t *testing.T) {
	c := newCluster(t)
	c.addBalancer("b1", "muenchen-a")
	c.declare()
	c.addAgent("liedlive-1", "muenchen-a")
	c.awaitJoined("liedlive-1")
	c.openFlows(1)
	for _, p := range []*process{c.agents["liedlive-1"], c.balancers["b1"]} {
		p.signal(syscall.SIGTERM)
		<-p.done
	}
	names := map[string]map[string]bool{}
	for _, n := range []string{"liedlive-1", "b1"} {
		for _, s := range readSpans(t, c.traceFile(n)) {
			id := s.SpanContext.TraceID
			if names[id] == nil {
				names[id] = map[string]bool{}
			}
			names[id][s.Name] = true
		}
	}
	require.Len(t, names, 1)
	for _, l := range names {
		require.True(t, l["balancer.route"])
		require.True(t, l["agent.receive"])
	}
}

func readSpans(t *testing.T, path string) []span {
	t.Helper()
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	var l []span
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var s span
		require.NoError(t, json.Unmarshal([]byte(line), &s))
		l = append(l, s)
	}
	return l
}
