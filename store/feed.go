package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted is returned by a watch from a revision that the platform has
// discarded; read the state again.
var ErrCompacted = errors.New("history is gone")

// Revision is a state of the whole platform store; it rises with each change.
type Revision uint64

// Watcher follows one piece of state in the platform: it reads it once and then
// waits for changes.
type Watcher[T any] struct {
	// Read returns the state and the revision that it is from.
	Read func(ctx context.Context) (T, Revision, error)
	// Wait returns the state again once it has changed after a revision, or
	// false when the wait has passed without a change.
	Wait func(ctx context.Context, after Revision, wait time.Duration) (T, Revision, bool, error)
	// WaitTime returns how long the next wait may take; zero leaves waiting to
	// others until the next kick.
	WaitTime func() time.Duration
	// Refresh asks for a look at the state now.
	Refresh <-chan struct{}
	// Changed takes each state, Confirmed each moment at which the held state was
	// asked for and found to be the newest, and Failed each failed call.
	Changed   func(T, Revision)
	Confirmed func(asked time.Time)
	Failed    func(error)
}

const (
	// readTimeout is many times the platform's usual 4 ms.
	readTimeout = 800 * time.Millisecond
	// waitSlack is added to a wait before its connection is given up.
	waitSlack = 700 * time.Millisecond
	// lookTime is the shortest wait that the platform takes.
	lookTime = time.Millisecond
	// idlePause is the time between questions whether this process should wait.
	idlePause = 500 * time.Millisecond
	// feedPause and feedPauseMax bound the pause after a failed call.
	feedPause    = 100 * time.Millisecond
	feedPauseMax = 600 * time.Millisecond
)

// Run follows the state until the context ends.
func (f *Watcher[T]) Run(ctx context.Context) {
	pause := feedPause
	after := Revision(0)
	for ctx.Err() == nil {
		next, err := f.step(ctx, after)
		if err == nil {
			after = next
			pause = feedPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Failed(err)
		if errors.Is(err, ErrCompacted) {
			after = 0
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, feedPauseMax)
	}
}

// step reads the state, or waits for the next change of it.
func (f *Watcher[T]) step(ctx context.Context, after Revision) (Revision, error) {
	if after == 0 {
		return f.read(ctx)
	}
	wait := f.WaitTime()
	if wait > 0 {
		return f.await(ctx, after, wait)
	}
	t := time.NewTimer(idlePause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.Refresh:
		return f.look(ctx, after, lookTime)
	}
	return after, nil
}

func (f *Watcher[T]) read(ctx context.Context) (Revision, error) {
	asked := time.Now()
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	x, at, err := f.Read(c)
	if err != nil {
		return 0, err
	}
	f.Changed(x, at)
	f.Confirmed(asked)
	return at, nil
}

// await waits for a change until it is kicked; then it looks at once, on
// another connection if this one has gone silent.
func (f *Watcher[T]) await(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	kicked := make(chan struct{})
	go func() {
		select {
		case <-f.Refresh:
			close(kicked)
			cancel()
		case <-c.Done():
		}
	}()
	at, err := f.look(c, after, wait)
	select {
	case <-kicked:
		if err != nil && ctx.Err() == nil {
			return f.look(ctx, after, lookTime)
		}
	default:
	}
	return at, err
}

// look waits for a change for a bounded time. What it confirms, it confirms for the
// time of asking: an answer may be late.
func (f *Watcher[T]) look(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	asked := time.Now()
	c, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	x, at, changed, err := f.Wait(c, after, wait)
	if err != nil {
		return 0, err
	}
	if changed {
		f.Changed(x, at)
	}
	f.Confirmed(asked)
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
