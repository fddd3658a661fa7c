// Package store is a client of the platform's object API: HTTP and JSON with
// versions as ETags, conditional writes and long-poll watches. Transport, Watcher and
// the errors also serve package platform, whose object API is another one.
package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/failure"
)

var (
	// ErrNotFound is returned for an object that does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned when a conditional write found another version.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable is returned when a read got no usable response within its
	// timeout and retries, and for an error status that has no error of its own. A
	// write may get such a status after it has taken effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnknownOutcome is returned when a write got no response, or a server error
	// in Client: it may have taken effect. Read the object back before writing again.
	ErrUnknownOutcome = errors.New("write has an unknown outcome")
	// ErrTooLarge is returned for a value above the platform's limit.
	ErrTooLarge = errors.New("value is too large")
	// ErrThrottled is returned when the platform limits the rate of calls.
	ErrThrottled = errors.New("platform limits the call rate")
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Version is the version of one object. Zero means that it does not exist.
type Version uint64

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// Object is one stored value.
type Object struct {
	Key     Key
	Version Version
	Value   json.RawMessage
}

// Config has the settings of a Client.
type Config struct {
	// BaseURL is the URL of the API, such as "http://127.0.0.1:8700".
	BaseURL string
	// Timeout bounds one attempt of one write, and the time until the first part of a response
	// to a read except Watch; zero means one second.
	Timeout time.Duration
	// HTTP is the client to use; nil means NewHTTPClient.
	HTTP *http.Client
	// Seed seeds the jitter of retries.
	Seed uint64
	// Count is called once for each attempt, with the method and the outcome.
	// It may be nil.
	Count func(method, outcome string)
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *Transport
	budget    *retryBudget
}

// New returns a client.
func New(c Config) *Client {
	h := c.HTTP
	if h == nil {
		h = NewHTTPClient()
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		config: c,
		transport: &Transport{
			HTTP:  h,
			Count: c.Count,
		},
		budget: newRetryBudget(c.Seed),
	}
}

const (
	defaultTimeout = time.Second
	// watchMargin is added to the wait of a watch to get its timeout.
	watchMargin = 2 * time.Second
)

// Get reads one object.
func (c *Client) Get(ctx context.Context, k Key) (Object, error) {
	var o Object
	err := c.retry(ctx, func(ctx context.Context) error {
		x, err := c.get(ctx, k, "")
		o = x
		return err
	})
	return o, err
}

// Watch waits until an object's version differs from after and returns the
// object. It returns ErrNotFound while the object does not exist, and the
// unchanged object when wait has passed without a change.
func (c *Client) Watch(ctx context.Context, k Key, after Version, wait time.Duration) (Object, error) {
	ctx, cancel := WithStallTimeout(ctx, wait+watchMargin)
	defer cancel()
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.get(ctx, k, "?"+q.Encode())
}

// Put writes an object if it still has the expected version; zero means that it
// must not exist. The client never retries a write.
func (c *Client) Put(ctx context.Context, k Key, value []byte, expected Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s/%s has %d bytes", k.Kind, k.Name, len(value))
	}
	return c.write(ctx, http.MethodPut, k, value, expected)
}

// Delete removes an object if it still has the expected version.
func (c *Client) Delete(ctx context.Context, k Key, expected Version) error {
	_, err := c.write(ctx, http.MethodDelete, k, nil, expected)
	return err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	var l []Object
	err := c.retry(ctx, func(ctx context.Context) error {
		x, err := c.list(ctx, kind)
		l = x
		return err
	})
	return l, err
}

func (c *Client) list(ctx context.Context, kind string) ([]Object, error) {
	r, err := c.do(ctx, http.MethodGet, c.path(Key{Kind: kind}), nil, nil)
	if err != nil {
		return nil, failure.Mark(err, ErrUnavailable)
	}
	if err := statusError(r.status); err != nil {
		return nil, err
	}
	var items []struct {
		Name    string          `json:"name"`
		Version Version         `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(r.body, &items); err != nil {
		return nil, errors.Wrap(failure.Mark(err, ErrUnavailable), "list")
	}
	l := make([]Object, 0, len(items))
	for _, i := range items {
		l = append(l, Object{
			Key: Key{
				Kind: kind,
				Name: i.Name,
			},
			Version: i.Version,
			Value:   i.Value,
		})
	}
	return l, nil
}

func (c *Client) get(ctx context.Context, k Key, query string) (Object, error) {
	r, err := c.do(ctx, http.MethodGet, c.path(k)+query, nil, nil)
	if err != nil {
		return Object{}, failure.Mark(err, ErrUnavailable)
	}
	if err := statusError(r.status); err != nil {
		return Object{}, err
	}
	return Object{
		Key:     k,
		Version: r.version,
		Value:   r.body,
	}, nil
}

func (c *Client) write(ctx context.Context, method string, k Key, value []byte, expected Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	h := http.Header{}
	if expected == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", formatETag(expected))
	}
	r, err := c.do(ctx, method, c.path(k), value, h)
	if err != nil {
		return 0, failure.Mark(err, ErrUnknownOutcome)
	}
	if r.status >= http.StatusInternalServerError {
		return 0, errors.Wrapf(ErrUnknownOutcome, "status %d", r.status)
	}
	return r.version, statusError(r.status)
}

// result is the response to one attempt.
type result struct {
	status  int
	version Version
	body    []byte
}

func (c *Client) do(ctx context.Context, method, path string, value []byte, h http.Header) (result, error) {
	r, err := c.transport.Call(ctx, method, path, value, h)
	if err != nil {
		return result{}, err
	}
	return result{
		status:  r.Status,
		version: parseETag(r.Header.Get("ETag")),
		body:    r.Body,
	}, nil
}

func (c *Client) path(k Key) string {
	p := strings.TrimSuffix(c.config.BaseURL, "/") + "/v1/objects/" + url.PathEscape(k.Kind)
	if k.Name != "" {
		p += "/" + url.PathEscape(k.Name)
	}
	return p
}

func statusError(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status >= http.StatusBadRequest:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return nil
}

func formatETag(v Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

func parseETag(s string) Version {
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(n)
}
