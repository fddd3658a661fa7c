package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	loadPollInterval = 250 * time.Millisecond
	loadPollTimeout  = time.Second
)

// loadResponse is the body of a backend server's load report.
type loadResponse struct {
	// Load is the share of the backend server's capacity that is in use.
	Load float64 `json:"load"`
}

// pollLoad reads the backend server's load report every loadPollInterval until
// the context ends. A report that fails is skipped.
func pollLoad(ctx context.Context, url string, report func(float64)) {
	h := &http.Client{
		Timeout: loadPollTimeout,
	}
	t := time.NewTicker(loadPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if x, ok := readLoad(ctx, h, url); ok {
			report(x)
		}
	}
}

func readLoad(ctx context.Context, h *http.Client, url string) (float64, bool) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	p, err := h.Do(q)
	if err != nil {
		return 0, false
	}
	defer func() { _ = p.Body.Close() }()
	var a loadResponse
	if p.StatusCode != http.StatusOK || json.NewDecoder(p.Body).Decode(&a) != nil {
		return 0, false
	}
	return a.Load, true
}
