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
	// dialTimeout is many times a round trip within a region.
	dialTimeout = 500 * time.Millisecond
	// userTimeout is the time without acknowledgement of sent bytes after which a
	// connection is closed.
	userTimeout = 2 * time.Second
	// idleConnTimeout keeps the number of idle connections small.
	idleConnTimeout = 30 * time.Second
)

// Transport performs single HTTP calls for clients of any object API. It is safe
// for concurrent use.
type Transport struct {
	// HTTP is the client to use. It must not be nil.
	HTTP *http.Client
	// Count is called once for each attempt, with the method and the outcome.
	// It may be nil.
	Count func(method, outcome string)
}

// Response is the response to one call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewHTTPClient returns a client that closes connections which the other side has
// silently lost.
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

// Call performs one HTTP call. An error means that no complete response arrived;
// a write may have taken effect. A body above 8 MaxValueBytes is cut without an error.
func (t *Transport) Call(ctx context.Context, method, url string, body []byte, h http.Header) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, method)
	}
	for k, v := range h {
		request.Header[k] = v
	}
	response, err := t.HTTP.Do(request)
	if err != nil {
		t.count(method, "failed")
		return Response{}, errors.Wrap(err, method)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, 8*MaxValueBytes))
	if err != nil {
		t.count(method, "failed")
		return Response{}, errors.Wrap(err, method)
	}
	t.count(method, strconv.Itoa(response.StatusCode))
	return Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   b,
	}, nil
}

func (t *Transport) count(method, outcome string) {
	if t.Count != nil {
		t.Count(method, outcome)
	}
}
