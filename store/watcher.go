package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted is returned by a watch from a revision whose history the platform
// has discarded; read the state again.
var ErrCompacted = errors.New("history of the watched revision is compacted")

// Revision is the revision of the whole platform store; it rises with each change.
type Revision uint64

// Watcher follows one piece of state in the platform: it reads the state and then
// waits for changes. It reads the state again when the history was compacted.
type Watcher[T any] struct {
	// Read returns the state and its revision.
	Read func(ctx context.Context) (T, Revision, error)
	// Wait returns the state once it has changed after a revision, or false when
	// the wait has passed without a change.
	Wait func(ctx context.Context, after Revision, wait time.Duration) (T, Revision, bool, error)
	// WaitTime returns the length of the next wait. Zero leaves waiting to other
	// processes; this one then checks for changes only on Refresh.
	WaitTime func() time.Duration
	// Refresh requests an immediate check for changes.
	Refresh <-chan struct{}
	// Changed receives each state that was read or has changed, Confirmed the start
	// time of each successful call, and Failed the error of each failed one, unless
	// the context has ended or Refresh cancelled the call.
	Changed   func(T, Revision)
	Confirmed func(started time.Time)
	Failed    func(error)
}

const (
	// readTimeout is many times the usual response time of the platform, 4 ms.
	readTimeout = 800 * time.Millisecond
	// waitMargin is added to a wait to get the timeout of its call.
	waitMargin = 700 * time.Millisecond
	// minWait is the shortest wait that the platform accepts.
	minWait = time.Millisecond
	// idleInterval is the time between calls of WaitTime while it returns zero.
	idleInterval = 500 * time.Millisecond
	// minRetryDelay is the initial delay after a failed call, before jitter. It doubles
	// with each further failure up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Run follows the state until the context ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	delay := minRetryDelay
	after := Revision(0)
	for ctx.Err() == nil {
		next, err := w.step(ctx, after)
		if err == nil {
			after = next
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.Failed(err)
		if errors.Is(err, ErrCompacted) {
			after = 0
			continue
		}
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// step reads the state, or waits for the next change of it.
func (w *Watcher[T]) step(ctx context.Context, after Revision) (Revision, error) {
	if after == 0 {
		return w.read(ctx)
	}
	wait := w.WaitTime()
	if wait > 0 {
		return w.await(ctx, after, wait)
	}
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.Refresh:
		return w.check(ctx, after, minWait)
	}
	return after, nil
}

func (w *Watcher[T]) read(ctx context.Context) (Revision, error) {
	started := time.Now()
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	x, at, err := w.Read(c)
	if err != nil {
		return 0, err
	}
	w.Changed(x, at)
	w.Confirmed(started)
	return at, nil
}

// await waits for a change. Refresh cancels the wait. Unless it has just succeeded,
// await then checks at once on another connection, as this one may have gone silent.
func (w *Watcher[T]) await(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	refreshed := make(chan struct{})
	go func() {
		select {
		case <-w.Refresh:
			close(refreshed)
			cancel()
		case <-c.Done():
		}
	}()
	at, err := w.check(c, after, wait)
	select {
	case <-refreshed:
		if err != nil && ctx.Err() == nil {
			return w.check(ctx, after, minWait)
		}
	default:
	}
	return at, err
}

// check waits for a change for a bounded time. It confirms the state as of the
// start of the call, because the response may be late.
func (w *Watcher[T]) check(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	started := time.Now()
	c, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	x, at, changed, err := w.Wait(c, after, wait)
	if err != nil {
		return 0, err
	}
	if changed {
		w.Changed(x, at)
	}
	w.Confirmed(started)
	return at, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
