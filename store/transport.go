package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
	// Breaker holds calls back while the store fails; nil holds none back.
	Breaker *Breaker
	mu      sync.Mutex
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
// a write may have taken effect. It is ErrStalled if the context has ended with this cause. A
// body above 8 MaxValueBytes is cut without an error.
func (t *Transport) Call(ctx context.Context, method, url string, body []byte, h http.Header) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, method)
	}
	for k, v := range h {
		request.Header[k] = v
	}
	if err := t.admit(ctx); err != nil {
		return Response{}, errors.Wrap(err, method)
	}
	r, err := t.perform(request)
	t.record(ctx, r, err)
	if err != nil {
		if stalled(ctx) {
			err = errors.CombineErrors(ErrStalled, err)
		}
		if !cancelled(ctx) {
			// The other idle connections may have gone silent with this one.
			t.HTTP.CloseIdleConnections()
		}
		t.count(method, "failed")
		return Response{}, errors.Wrap(err, method)
	}
	t.count(method, strconv.Itoa(r.Status))
	return r, nil
}

func (t *Transport) perform(request *http.Request) (Response, error) {
	response, err := t.HTTP.Do(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body := newProgressReader(request.Context(), response.Body)
	b, err := io.ReadAll(io.LimitReader(body, 8*MaxValueBytes))
	return Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   b,
	}, errors.Wrap(err, "read response")
}

// admit waits until the breaker lets a call start.
func (t *Transport) admit(ctx context.Context) error {
	if t.Breaker == nil {
		return nil
	}
	for {
		t.mu.Lock()
		wait, ok := t.Breaker.Admit(time.Now())
		t.mu.Unlock()
		if ok {
			return nil
		}
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "wait for a probe of the store")
		}
	}
}

// record passes the outcome of a call to the breaker, unless the call was cancelled here.
func (t *Transport) record(ctx context.Context, r Response, err error) {
	if t.Breaker == nil || cancelled(ctx) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError
	if err != nil || refused {
		t.Breaker.Failed(time.Now())
	} else {
		t.Breaker.Succeeded()
	}
}

// cancelled reports whether the caller has ended a call.
func cancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !stalled(ctx)
}

func (t *Transport) count(method, outcome string) {
	if t.Count != nil {
		t.Count(method, outcome)
	}
}
