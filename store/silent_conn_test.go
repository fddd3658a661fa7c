package store_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/standin/slowlink"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// idleConns is the number of connections that a client keeps while it makes no calls.
const idleConns = 4

// TestSilentConnectionsFailOneCall has all idle connections go silent for good: the first call
// fails, and the next one must not try another of them.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(50 * time.Millisecond)
	}))
	t.Cleanup(s.Close)
	l, err := slowlink.New(slowlink.Config{
		Listen:         "127.0.0.1:0",
		Target:         strings.TrimPrefix(s.URL, "http://"),
		BytesPerSecond: 1 << 20,
	})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	x := &store.Transport{
		HTTP: store.NewHTTPClient(),
	}
	call := func() error {
		ctx, cancel := store.WithStallTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := x.Call(ctx, http.MethodGet, "http://"+l.Address(), nil, nil)
		return err
	}
	var wait sync.WaitGroup
	for range idleConns {
		wait.Go(func() { assert.NoError(t, call()) })
	}
	wait.Wait()
	l.Silence()
	require.ErrorIs(t, call(), store.ErrStalled)
	require.NoError(t, call())
}
