package integration

import (
	"context"
	"io"
	"net/http"
)

// get returns the body of an HTTP GET of the URL.
func get(ctx context.Context, url string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}
