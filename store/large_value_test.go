package store_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/standin/slowlink"
	"github.com/lentilshed/lentilshed/store"
	"github.com/stretchr/testify/require"
)

// TestLargeValueIsReadOverASlowLink reads values that take longer to arrive than the timeout.
func TestLargeValueIsReadOverASlowLink(t *testing.T) {
	w := httptest.NewServer(objectstore.New(1))
	t.Cleanup(w.Close)
	direct := store.New(store.Config{
		BaseURL: w.URL,
		Timeout: 10 * time.Second,
	})
	value := []byte(`"` + strings.Repeat("x", store.MaxValueBytes-2) + `"`)
	_, err := direct.Put(t.Context(), key, value, 0)
	require.NoError(t, err)
	l, err := slowlink.New(slowlink.Config{
		Listen:         "127.0.0.1:0",
		Target:         strings.TrimPrefix(w.URL, "http://"),
		BytesPerSecond: 10_000_000 / 8,
	})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	c := store.New(store.Config{
		BaseURL: "http://" + l.Address(),
		Timeout: 500 * time.Millisecond,
	})
	o, err := c.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, o.Value, len(value))
	all, err := c.List(t.Context(), key.Kind)
	require.NoError(t, err)
	require.Len(t, all, 1)
}
