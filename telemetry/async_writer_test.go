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

// TestAsyncWriterNeverBlocks logs far more than fits into a pipe that is not read.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	a := telemetry.NewAsyncWriter(w)
	l := telemetry.NewLogger(a, "test", "info")
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
	require.Positive(t, a.Dropped(), "dropped lines are counted")
	started := time.Now()
	a.Close(50 * time.Millisecond)
	require.Less(t, time.Since(started), time.Second, "closing does not wait for the reader")
	_ = r.Close()
	_ = w.Close()
}

// TestAsyncWriterKeepsOrder expects all lines in order when the output keeps up.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	var b lockedBuffer
	a := telemetry.NewAsyncWriter(&b)
	want := ""
	for i := range 300 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := io.WriteString(a, line)
		require.NoError(t, err)
	}
	a.Close(time.Second)
	require.Equal(t, want, b.String())
	require.Zero(t, a.Dropped())
}

// lockedBuffer is written by the AsyncWriter and read by the test.
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
