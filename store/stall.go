package store

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is returned by a call of which no part of the response has arrived for the time
// given to WithStallTimeout.
var ErrStalled = errors.New("call has stalled")

const (
	// stallTimeout is the longest time between two parts of a response.
	stallTimeout = 700 * time.Millisecond
	// maxTransferTime bounds the time for which parts of responses extend a context.
	maxTransferTime = 10 * time.Second
)

// WithStallTimeout returns a context for calls of a Transport. It ends with the cause ErrStalled
// once no part of a response has arrived for a time, which is first until the first part.
// Unlike with a deadline, a response that takes long because it is large, and the link slow, is
// not cut off: the next call would have to begin anew and would get no further.
func WithStallTimeout(ctx context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{
		end: time.Now().Add(first + maxTransferTime),
	}
	t.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return context.WithValue(c, stallKey{}, t), func() {
		t.stop()
		cancel(nil)
	}
}

// stallKey is the key of the stallTimer of a context.
type stallKey struct{}

// stallTimer ends a context that makes no progress.
type stallTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	end   time.Time
	// receiving is set once a part of a response has arrived.
	receiving bool
	stopped   bool
}

// extend gives the next part of the response stallTimeout to arrive.
func (t *stallTimer) extend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receiving = true
	if d := min(stallTimeout, time.Until(t.end)); d > 0 && !t.stopped {
		t.timer.Reset(d)
	}
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// receiving reports whether a part of a response has arrived under a context.
func receiving(ctx context.Context) bool {
	t, ok := ctx.Value(stallKey{}).(*stallTimer)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receiving
}

// stalled reports whether a context has ended because its call has stalled.
func stalled(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStalled)
}

// progressReader extends the context of a call with each part of the response that is read.
type progressReader struct {
	reader io.Reader
	timer  *stallTimer
}

// newProgressReader returns a reader of a response under a context.
func newProgressReader(ctx context.Context, r io.Reader) io.Reader {
	t, ok := ctx.Value(stallKey{}).(*stallTimer)
	if !ok {
		return r
	}
	return &progressReader{
		reader: r,
		timer:  t,
	}
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.timer.extend()
	}
	return n, err //nolint:wrapcheck // io.Reader must return io.EOF as it is.
}
