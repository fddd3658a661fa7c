package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/store"
)

const (
	watchTimeout       = 10 * time.Second
	minWatchRetryDelay = 200 * time.Millisecond
	maxWatchRetryDelay = time.Second
)

// watcher posts the accepted document each time that a watch of the platform returns
// it, changed or not, and a DocumentMsg without a document when there is none. It runs
// only while it is turned on.
type watcher struct {
	store  *intent.Store
	post   func(Msg)
	mu     sync.Mutex
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newWatcher(s *intent.Store, post func(Msg)) *watcher {
	return &watcher{
		store: s,
		post:  post,
	}
}

func (w *watcher) set(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on == (w.cancel != nil) {
		return
	}
	if !on {
		w.cancel()
		w.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wait.Add(1)
	go w.run(ctx)
}

func (w *watcher) close() {
	w.set(false)
	w.wait.Wait()
}

func (w *watcher) run(ctx context.Context) {
	defer w.wait.Done()
	after := store.Version(0)
	delay := minWatchRetryDelay
	for ctx.Err() == nil {
		accepted, err := w.store.Watch(ctx, after, watchTimeout)
		switch {
		case err == nil:
			after = accepted.Version
			delay = minWatchRetryDelay
			w.post(DocumentMsg{
				Document: accepted.Document,
			})
			continue
		case errors.Is(err, store.ErrNotFound):
			w.post(DocumentMsg{})
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxWatchRetryDelay)
	}
}
