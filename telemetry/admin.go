package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const adminHeaderTimeout = 2 * time.Second

// AdminServer serves /metrics and /healthz of one process.
type AdminServer struct {
	server   *http.Server
	listener net.Listener
}

// NewAdminServer starts to serve at an address. Health returns nil, or an error
// that says why the instance should get no traffic.
func NewAdminServer(address string, metrics http.Handler, health func() error) (*AdminServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for admin requests")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ok")
	})
	a := &AdminServer{
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: adminHeaderTimeout,
		},
		listener: l,
	}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close stops serving.
func (a *AdminServer) Close() {
	_ = a.server.Close()
}
