package store_test

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

var key = store.Key{
	Kind: "intent",
	Name: "bayern",
}

// newClient returns a client, its platform, and the number of attempts so far.
func newClient(t *testing.T) (*store.Client, *objectstore.Server, *atomic.Int64) {
	t.Helper()
	s := objectstore.New(1)
	w := httptest.NewServer(s)
	t.Cleanup(w.Close)
	n := &atomic.Int64{}
	return store.New(store.Config{
		BaseURL: w.URL,
		Timeout: 500 * time.Millisecond,
		Count:   func(string, string) { n.Add(1) },
	}), s, n
}

func TestConditionalWrites(t *testing.T) {
	c, _, _ := newClient(t)
	_, err := c.Get(t.Context(), key)
	require.ErrorIs(t, err, store.ErrNotFound)
	v, err := c.Put(t.Context(), key, []byte(`{"a":1}`), 0)
	require.NoError(t, err)
	_, err = c.Put(t.Context(), key, []byte(`{"a":2}`), 0)
	require.ErrorIs(t, err, store.ErrConflict)
	w, err := c.Put(t.Context(), key, []byte(`{"a":3}`), v)
	require.NoError(t, err)
	require.Greater(t, w, v)
	l, err := c.List(t.Context(), "intent")
	require.NoError(t, err)
	require.Len(t, l, 1)
	require.JSONEq(t, `{"a":3}`, string(l[0].Value))
	require.ErrorIs(t, c.Delete(t.Context(), key, v), store.ErrConflict)
	require.NoError(t, c.Delete(t.Context(), key, w))
}

func TestLargeValueIsRejected(t *testing.T) {
	c, _, n := newClient(t)
	_, err := c.Put(t.Context(), key, make([]byte, store.MaxValueBytes+1), 0)
	require.ErrorIs(t, err, store.ErrTooLarge)
	require.Zero(t, n.Load(), "nothing was sent")
}

// TestWritesAreNeverRetried loses the response to a write that took effect: the
// client makes one attempt and reports that the outcome is unknown.
func TestWritesAreNeverRetried(t *testing.T) {
	c, s, n := newClient(t)
	s.SetFaults(objectstore.Faults{
		LostResponses: 1,
	})
	_, err := c.Put(t.Context(), key, []byte(`{}`), 0)
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
	require.Equal(t, int64(1), n.Load())
	_, err = c.Get(t.Context(), key)
	require.NoError(t, err)
}

// TestRetriesAreAShareOfCalls keeps the platform unavailable: most reads are
// attempted only once, so that retries do not multiply the calls.
func TestRetriesAreAShareOfCalls(t *testing.T) {
	const reads = 100
	c, s, n := newClient(t)
	s.SetFaults(objectstore.Faults{
		Down: true,
	})
	for range reads {
		_, err := c.Get(t.Context(), key)
		require.ErrorIs(t, err, store.ErrUnavailable)
	}
	require.LessOrEqual(t, n.Load(), int64(1.3*reads))
}

func TestWatchReturnsOnChange(t *testing.T) {
	c, _, _ := newClient(t)
	v, err := c.Put(t.Context(), key, []byte(`1`), 0)
	require.NoError(t, err)
	got := make(chan store.Object, 1)
	go func() {
		o, err := c.Watch(t.Context(), key, v, 5*time.Second)
		if err == nil {
			got <- o
		}
	}()
	time.Sleep(50 * time.Millisecond)
	w, err := c.Put(t.Context(), key, []byte(`2`), v)
	require.NoError(t, err)
	select {
	case o := <-got:
		require.Equal(t, w, o.Version)
		require.Equal(t, "2", string(o.Value))
	case <-time.After(4 * time.Second):
		require.Fail(t, "the watch did not return")
	}
}
