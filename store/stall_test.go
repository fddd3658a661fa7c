package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

// responseSize is the size of the whole response in bytes.
const responseSize = 3000

// part is a part of a response and the time before it is sent.
type part struct {
	after time.Duration
	bytes int
}

// callParts makes a call whose response comes in parts. If they are not all of it, the server
// sends nothing more.
func callParts(t *testing.T, b *store.Breaker, parts []part) (int, error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(responseSize))
		sent := 0
		for _, p := range parts {
			time.Sleep(p.after)
			n, _ := w.Write(make([]byte, p.bytes))
			_ = http.NewResponseController(w).Flush()
			sent += n
		}
		if sent < responseSize {
			<-q.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	x := &store.Transport{
		HTTP:    store.NewHTTPClient(),
		Breaker: b,
	}
	ctx, cancel := store.WithStallTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r, err := x.Call(ctx, http.MethodGet, s.URL, nil, nil)
	return len(r.Body), err
}

// TestSlowResponseIsNotCutOff has a response take several times as long as its first part may.
func TestSlowResponseIsNotCutOff(t *testing.T) {
	n, err := callParts(t, nil, []part{
		{
			bytes: 1000,
		},
		{
			after: 400 * time.Millisecond,
			bytes: 1000,
		},
		{
			after: 400 * time.Millisecond,
			bytes: 1000,
		},
	})
	require.NoError(t, err)
	require.Equal(t, responseSize, n)
}

// TestStalledResponseFails has responses stop before their first part and after it. The breaker
// must count both.
func TestStalledResponseFails(t *testing.T) {
	for _, parts := range [][]part{
		nil,
		{
			{
				bytes: 1000,
			},
		},
	} {
		b := store.NewBreaker(store.BreakerConfig{
			MaxDelay: time.Minute,
		})
		begin := time.Now()
		_, err := callParts(t, b, parts)
		require.ErrorIs(t, err, store.ErrStalled)
		require.Less(t, time.Since(begin), 2*time.Second)
		b.Failed(time.Now())
		_, ok := b.Admit(time.Now())
		require.False(t, ok, "two failures open the breaker")
	}
}

// TestCancelledCallIsNotStalled cancels a call; it must not count as a failure.
func TestCancelledCallIsNotStalled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c, end := store.WithStallTimeout(ctx, time.Minute)
	defer end()
	time.AfterFunc(50*time.Millisecond, cancel)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	t.Cleanup(s.Close)
	x := &store.Transport{
		HTTP: store.NewHTTPClient(),
	}
	_, err := x.Call(c, http.MethodGet, s.URL, nil, nil)
	require.ErrorIs(t, err, context.Canceled)
	require.NotErrorIs(t, err, store.ErrStalled)
}
