// Package backend is a stand-in for a backend server: it answers lines over TCP, has
// a reduced capacity while cold, and reports a load that may be delayed or wrong.
package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Config configures a backend server.
type Config struct {
	Name    string
	Service string
	// Capacity is the number of flows that it can handle when warm.
	Capacity uint32
	// ColdShare is the share of its capacity that it has at its start, between 0
	// and 1. The share rises linearly to 1 during the warm-up.
	ColdShare float64
	// Warmup is the duration of the warm-up.
	Warmup time.Duration
	// Latency is the time that one answer takes when warm.
	Latency time.Duration
	// ReportLag is the age of its load reports.
	ReportLag time.Duration
	// Address is the TCP address that accepts flows; "127.0.0.1:0" picks a free port.
	Address string
}

// ReportMode selects which load the server reports.
type ReportMode int32

const (
	// ReportTrue reports the load as it was ReportLag ago.
	ReportTrue ReportMode = iota
	// ReportZero always reports a load of 0.
	ReportZero
	// ReportFrozen repeats the last report made in mode ReportTrue, or 0 before the
	// first.
	ReportFrozen
)

// coldSlowdown is the factor by which answers take longer while the server is cold.
const coldSlowdown = 8

// Server is one running backend server.
type Server struct {
	config       Config
	listener     net.Listener
	admin        net.Listener
	http         *http.Server
	wait         sync.WaitGroup
	stop         chan struct{}
	active       atomic.Int64
	warmupStart  atomic.Int64
	reportMode   atomic.Int32
	mu           sync.Mutex
	conns        map[net.Conn]bool
	samples      []sample
	lastReported float64
	// Overloads counts flows accepted above the capacity of that moment.
	Overloads atomic.Uint64
	// ColdOverloads counts those of them accepted while the server was cold.
	ColdOverloads atomic.Uint64
	// Opened counts all accepted flows.
	Opened atomic.Uint64
}

type sample struct {
	at   time.Time
	load float64
}

// New starts a cold backend server.
func New(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for flows")
	}
	a, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "listen for load requests")
	}
	s := &Server{
		config:   c,
		listener: l,
		admin:    a,
		stop:     make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	s.RestartWarmup()
	mux := http.NewServeMux()
	mux.HandleFunc("/load", s.report)
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "fine")
	})
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	s.wait.Add(2)
	go s.accept()
	go s.sampleLoad()
	go func() { _ = s.http.Serve(a) }()
	return s, nil
}

// Address returns the TCP address that accepts flows.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// LoadURL returns the URL of the load report.
func (s *Server) LoadURL() string {
	return "http://" + s.admin.Addr().String() + "/load"
}

// Active returns the number of open flows.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// Capacity returns the number of flows that the server can handle when warm.
func (s *Server) Capacity() int {
	return int(s.config.Capacity)
}

// RestartWarmup makes the server cold again without closing connections. Only slower
// answers and a higher load show it.
func (s *Server) RestartWarmup() {
	s.warmupStart.Store(time.Now().UnixNano())
}

// SetReport sets the mode of the load report.
func (s *Server) SetReport(m ReportMode) {
	s.reportMode.Store(int32(m))
}

// Crash resets all flows and makes the server cold, as a crash and restart under the
// same address would.
func (s *Server) Crash() {
	s.mu.Lock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	s.RestartWarmup()
}

// Close stops the server and resets all flows.
func (s *Server) Close() {
	close(s.stop)
	_ = s.listener.Close()
	_ = s.http.Close()
	s.Crash()
	s.wait.Wait()
}

// CurrentCapacity returns the number of flows that the server can handle now, at
// least 1.
func (s *Server) CurrentCapacity() int {
	return int(max(1, float64(s.config.Capacity)*s.capacityShare()))
}

func (s *Server) capacityShare() float64 {
	if s.config.Warmup <= 0 {
		return 1
	}
	x := float64(time.Now().UnixNano()-s.warmupStart.Load()) / float64(s.config.Warmup)
	return s.config.ColdShare + (1-s.config.ColdShare)*min(max(x, 0), 1)
}

func (s *Server) cold() bool {
	return s.capacityShare() < 1
}

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.addFlow(c)
		s.wait.Add(1)
		go s.serve(c)
	}
}

// addFlow counts an accepted flow, and counts it as an overload if it exceeds the
// current capacity.
func (s *Server) addFlow(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	s.Opened.Add(1)
	if int(s.active.Add(1)) <= s.CurrentCapacity() {
		return
	}
	s.Overloads.Add(1)
	if s.cold() {
		s.ColdOverloads.Add(1)
	}
}

// serve answers each line with the names of the service and the server, followed by
// the line.
func (s *Server) serve(c net.Conn) {
	defer s.wait.Done()
	defer func() {
		_ = c.Close()
		s.active.Add(-1)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 512)
	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s.work()
		if _, err := fmt.Fprintf(c, "%s/%s %s", s.config.Service, s.config.Name, l); err != nil {
			return
		}
	}
}

// work waits for the time of one answer, which is longer while the server is cold.
func (s *Server) work() {
	d := s.config.Latency
	if s.cold() {
		d *= coldSlowdown
	}
	time.Sleep(d)
}

func (s *Server) sampleLoad() {
	defer s.wait.Done()
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		x := sample{
			at:   time.Now(),
			load: float64(s.active.Load()) / float64(s.CurrentCapacity()),
		}
		s.mu.Lock()
		s.samples = append(s.samples, x)
		for len(s.samples) > 1 && time.Since(s.samples[1].at) >= s.config.ReportLag {
			s.samples = s.samples[1:]
		}
		s.mu.Unlock()
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := 0.0
	if len(s.samples) > 0 {
		load = s.samples[0].load
	}
	switch ReportMode(s.reportMode.Load()) {
	case ReportZero:
		load = 0
	case ReportFrozen:
		load = s.lastReported
	case ReportTrue:
		s.lastReported = load
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Load float64 `json:"load"`
	}{
		Load: load,
	})
}
