package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is many round trips within a region.
	dialTimeout = 500 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// idleConnTimeout keeps few idle connections.
	idleConnTimeout = 30 * time.Second
)

// Transport performs single HTTP calls for object clients of any dialect. It is
// safe for concurrent use.
type Transport struct {
	// HTTP is the client to use; nil takes NewHTTPClient.
	HTTP *http.Client
	// Count is called once for each attempt, with the method and the outcome.
	// It may be nil.
	Count func(method, outcome string)
}

// Response is what one call brought back.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewHTTPClient returns a client whose connections end when the other side has
// silently lost them.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(e, err)
}

// Call performs one HTTP call. An error means that no whole answer came: a
// write may have taken effect.
func (t *Transport) Call(ctx context.Context, method, url string, body []byte, h http.Header) (Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, method)
	}
	for k, v := range h {
		q.Header[k] = v
	}
	p, err := t.HTTP.Do(q)
	if err != nil {
		t.count(method, "failed")
		return Response{}, errors.Wrap(err, method)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, 8*MaxValueBytes))
	if err != nil {
		t.count(method, "failed")
		return Response{}, errors.Wrap(err, method)
	}
	t.count(method, strconv.Itoa(p.StatusCode))
	return Response{
		Status: p.StatusCode,
		Header: p.Header,
		Body:   b,
	}, nil
}

func (t *Transport) count(method, outcome string) {
	if t.Count != nil {
		t.Count(method, outcome)
	}
}
