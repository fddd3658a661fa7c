package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

var errAway = errors.New("store is away")

// answers is what a store says to the calls of a feed, one after the other.
type answers struct {
	reads chan answer
	waits chan answer
}

type answer struct {
	state   string
	changed bool
	err     error
}

// TestFeedFollowsThroughTrouble reads, waits, loses its history and the store,
// and ends up with the newest state each time.
func TestFeedFollowsThroughTrouble(t *testing.T) {
	a := answers{
		reads: make(chan answer, 9),
		waits: make(chan answer, 9),
	}
	seen := make(chan string, 9)
	failed := make(chan error, 9)
	revision := store.Revision(1)
	f := store.Watcher[string]{
		Read: func(context.Context) (string, store.Revision, error) {
			x := <-a.reads
			revision++
			return x.state, revision, x.err
		},
		Wait: func(context.Context, store.Revision, time.Duration) (string, store.Revision, bool, error) {
			x := <-a.waits
			revision++
			return x.state, revision, x.changed, x.err
		},
		WaitTime:  func() time.Duration { return time.Second },
		Changed:   func(s string, _ store.Revision) { seen <- s },
		Confirmed: func(time.Time) {},
		Failed:    func(err error) { failed <- err },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	a.reads <- answer{
		state: "one",
	}
	require.Equal(t, "one", <-seen)
	a.waits <- answer{}
	a.waits <- answer{
		state:   "two",
		changed: true,
	}
	require.Equal(t, "two", <-seen)
	a.waits <- answer{
		err: store.ErrCompacted,
	}
	a.reads <- answer{
		err: errAway,
	}
	a.reads <- answer{
		state: "three",
	}
	require.ErrorIs(t, <-failed, store.ErrCompacted)
	require.ErrorIs(t, <-failed, errAway)
	require.Equal(t, "three", <-seen)
	cancel()
	a.waits <- answer{}
	<-done
}

// TestKickedFeedLooksAtOnce does not wait for its turn.
func TestKickedFeedLooksAtOnce(t *testing.T) {
	kick := make(chan struct{}, 1)
	looked := make(chan time.Duration, 1)
	f := store.Watcher[string]{
		Read: func(context.Context) (string, store.Revision, error) { return "", 1, nil },
		Wait: func(_ context.Context, _ store.Revision, d time.Duration) (string, store.Revision, bool, error) {
			looked <- d
			return "", 2, false, nil
		},
		WaitTime:  func() time.Duration { return 0 },
		Refresh:   kick,
		Changed:   func(string, store.Revision) {},
		Confirmed: func(time.Time) {},
		Failed:    func(error) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	kick <- struct{}{}
	require.Less(t, <-looked, 10*time.Millisecond)
}
