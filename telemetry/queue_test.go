package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/stretchr/testify/require"
)

// TestQueueNeverBlocks logs far more than a pipe holds that nobody reads.
func TestQueueNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	q := telemetry.NewAsyncWriter(w)
	l := telemetry.NewLogger(q, "test", "info")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			l.Info().Int("count", i).Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "logging blocks")
	}
	require.Positive(t, q.Dropped(), "lines left out are counted")
	began := time.Now()
	q.Close(50 * time.Millisecond)
	require.Less(t, time.Since(began), time.Second, "the end does not wait for the reader")
	_ = r.Close()
	_ = w.Close()
}

// TestQueueKeepsOrder writes all lines in order when the output keeps up.
func TestQueueKeepsOrder(t *testing.T) {
	var b lockedBuffer
	q := telemetry.NewAsyncWriter(&b)
	want := ""
	for i := range 300 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := io.WriteString(q, line)
		require.NoError(t, err)
	}
	q.Close(time.Second)
	require.Equal(t, want, b.String())
	require.Zero(t, q.Dropped())
}

// lockedBuffer is written by the queue and read by the test.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
