package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/holder"
	"golang.org/x/sys/unix"
)

const (
	// probeTimeout bounds the time to connect to a backend server on the same
	// instance, which takes less than a millisecond.
	probeTimeout = 200 * time.Millisecond
	// healthTimeout bounds the time to a health response, which is longer while the
	// backend server is busy.
	healthTimeout = 500 * time.Millisecond
)

// probeBackend opens a connection to a backend server. If path is not empty, it also
// sends a health request.
func probeBackend(a netip.AddrPort, path string) holder.ProbeResult {
	d := net.Dialer{
		Timeout: probeTimeout,
	}
	c, err := d.Dial("tcp4", a.String())
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return holder.ProbeRefused
	case err != nil:
		return holder.ProbeSilent
	}
	defer func() { _ = c.Close() }()
	if path == "" {
		return holder.ProbeAlive
	}
	return checkHealth(c, a, path)
}

func checkHealth(c net.Conn, a netip.AddrPort, path string) holder.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	t := &http.Transport{
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return c, nil },
		DisableKeepAlives: true,
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return holder.ProbeAlive
	}
	p, err := t.RoundTrip(q)
	if err != nil {
		return holder.ProbeAlive
	}
	_ = p.Body.Close()
	if p.StatusCode == http.StatusOK {
		return holder.ProbeReady
	}
	return holder.ProbeAlive
}
