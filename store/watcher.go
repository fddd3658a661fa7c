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
	// Settle is the time after a change before the next wait begins, so that one call
	// returns many changes of a burst. A Refresh ends it.
	Settle time.Duration
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
	// readTimeout is the time for the first part of a response to arrive: many times the
	// usual response time of the platform, 4 ms.
	readTimeout = 800 * time.Millisecond
	// waitMargin is added to a wait to get the time for the first part of the response.
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
	return w.pause(ctx, after, idleInterval)
}

func (w *Watcher[T]) read(ctx context.Context) (Revision, error) {
	started := time.Now()
	c, cancel := WithStallTimeout(ctx, readTimeout)
	defer cancel()
	x, at, err := w.Read(c)
	if err != nil {
		return 0, err
	}
	w.Changed(x, at)
	w.Confirmed(started)
	return at, nil
}

// await waits for a change. On Refresh it checks at once on another connection, as that of
// the wait may have gone silent, and the wait goes on unless the check found a change. While the
// response to the wait is arriving, there is no check: over a slow link, each would delay the other.
func (w *Watcher[T]) await(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	c, cancel := WithStallTimeout(ctx, wait+waitMargin)
	defer cancel()
	done := make(chan outcome[T], 1)
	go func() { done <- w.call(c, after, wait) }()
	for {
		select {
		case o := <-done:
			at, err := w.adopt(o)
			if err != nil || !o.changed || w.Settle == 0 {
				return at, err
			}
			return w.pause(ctx, at, w.Settle)
		case <-w.Refresh:
			if receiving(c) {
				continue
			}
			o := w.callNow(ctx, after)
			at, err := w.adopt(o)
			if err != nil || o.changed {
				return at, err
			}
			// The history of an older revision may be compacted before the wait ends.
			after = at
		}
	}
}

// pause makes no call for a time, except on Refresh, which ends it.
func (w *Watcher[T]) pause(ctx context.Context, after Revision, d time.Duration) (Revision, error) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.Refresh:
		return w.adopt(w.callNow(ctx, after))
	}
	return after, nil
}

// outcome is the result of one call of Wait.
type outcome[T any] struct {
	started time.Time
	state   T
	at      Revision
	changed bool
	err     error
}

// callNow checks for a change without waiting for one.
func (w *Watcher[T]) callNow(ctx context.Context, after Revision) outcome[T] {
	c, cancel := WithStallTimeout(ctx, minWait+waitMargin)
	defer cancel()
	return w.call(c, after, minWait)
}

func (w *Watcher[T]) call(ctx context.Context, after Revision, wait time.Duration) outcome[T] {
	o := outcome[T]{
		started: time.Now(),
	}
	o.state, o.at, o.changed, o.err = w.Wait(ctx, after, wait)
	return o
}

// adopt passes the outcome of a call on. It confirms the state as of the start of the
// call, because the response may be late.
func (w *Watcher[T]) adopt(o outcome[T]) (Revision, error) {
	if o.err != nil {
		return 0, o.err
	}
	if o.changed {
		w.Changed(o.state, o.at)
	}
	w.Confirmed(o.started)
	return o.at, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
