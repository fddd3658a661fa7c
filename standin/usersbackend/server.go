// Package usersbackend stands in for a backend server of the users' platform: it
// ends flows itself, over datagrams.
package usersbackend

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
)

const (
	headerSize  = 32
	offsetSum   = 26
	bitReturned = 8
	// sumKey keys the sum over what must not change on the way.
	sumKey = 0x5eed
	// slots is the number of requests that a server works on at a time.
	slots = 5
	// answerLength is the size of each answer, in bytes.
	answerLength = 100

	beatPeriod = 300 * time.Millisecond

	listenTries = 50
	listenPause = 20 * time.Millisecond
)

// Config says where a backend server runs.
type Config struct {
	Service string
	// Address takes packets over UDP and health questions over TCP.
	Address  netip.AddrPort
	Outbound netip.AddrPort
	// HeartbeatURL is the base URL that takes heartbeats.
	HeartbeatURL string
	// RequestDuration is the time of one request.
	RequestDuration time.Duration
	// Warmup is how long the server tells that it is cold after its start.
	Warmup time.Duration
	// Observe is called for each packet that arrives; nil for nobody.
	Observe func(Arrival)
}

// Arrival is a packet at a backend server.
type Arrival struct {
	Packet segment.Segment
	At     time.Time
	// Held is set when the flow is open here, Opened by the packet that opened it,
	// and Taken when a first packet was accepted.
	Held     bool
	Opened   bool
	Accepted bool
	// Intact is false when the packet is not as its caller wrote it.
	Intact bool
}

// Server is a running backend server.
type Server struct {
	config   Config
	conn     *net.UDPConn
	web      *http.Server
	born     int64
	mu       sync.Mutex
	sequence int
	draining bool
	accepted int
	// half are flows whose caller has not acknowledged yet, open are the others, both
	// by the sequence number of the acceptance.
	half map[flow.Tuple]uint32
	open map[flow.Tuple]uint32
	done chan struct{}
}

// New starts a backend server.
func New(c Config) (*Server, error) {
	u, err := listen(c.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	l, err := net.Listen("tcp4", c.Address.String())
	if err != nil {
		_ = u.Close()
		return nil, errors.Wrap(err, "listen for health")
	}
	s := &Server{
		config: c,
		conn:   u,
		web: &http.Server{
			Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ReadHeaderTimeout: time.Second,
		},
		born: time.Now().UnixMilli(),
		half: map[flow.Tuple]uint32{},
		open: map[flow.Tuple]uint32{},
		done: make(chan struct{}),
	}
	go func() { _ = s.web.Serve(l) }()
	go s.serve()
	go s.beats()
	return s, nil
}

// listen tries again while an earlier backend server gives its address up.
func listen(a netip.AddrPort) (*net.UDPConn, error) {
	for i := 0; ; i++ {
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		if err == nil || i == listenTries {
			return u, errors.Wrap(err, "listen")
		}
		time.Sleep(listenPause)
	}
}

// Close ends the backend server as a crash would.
func (s *Server) Close() {
	close(s.done)
	_ = s.web.Close()
	_ = s.conn.Close()
}

// Drain announces that the backend server leaves, and reports whether that is
// acknowledged.
func (s *Server) Drain() bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.beat()
}

// Deregister says farewell before an end.
func (s *Server) Deregister() {
	p, err := http.Post(fmt.Sprintf("%s/lentilshed/instances/i-%d/deregister", s.config.HeartbeatURL, s.born), "application/json", nil)
	if err == nil {
		_ = p.Body.Close()
	}
}

// Holds reports whether a flow is open here.
func (s *Server) Holds(t flow.Tuple) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.open[t]
	return ok
}

// Accepted returns the number of flows that were accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *Server) beats() {
	for {
		s.beat()
		select {
		case <-s.done:
			return
		case <-time.After(beatPeriod):
		}
	}
}

// beatClient gives up after the second in which an acknowledgement counts.
var beatClient = &http.Client{
	Timeout: time.Second,
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *Server) beat() bool {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service":         s.config.Service,
		"address":         s.config.Address.String(),
		"max_concurrency": slots,
		"state":           state,
		"warmup_left_ms":  max(0, (s.config.Warmup - time.Since(time.UnixMilli(s.born))).Milliseconds()),
		"seq_no":          s.sequence,
		"born":            s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	p, err := beatClient.Post(fmt.Sprintf("%s/lentilshed/instances/i-%d/heartbeat", s.config.HeartbeatURL, s.born), "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

func (s *Server) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n >= headerSize {
			s.answer(b[:n])
		}
	}
}

// answer accepts first packets, answers data, and returns what it does not
// hold.
func (s *Server) answer(b []byte) {
	p := decode(b)
	first, a := s.take(p)
	a.Intact = binary.LittleEndian.Uint32(b[offsetSum:]) == sum(b)
	if s.config.Observe != nil {
		s.config.Observe(a)
	}
	switch {
	case p.Initial():
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Syn | segment.Ack,
			Sequence: first,
			Ack:      p.Sequence + 1,
		}, true))
	case a.Held && p.Has(segment.Fin):
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Fin | segment.Ack,
			Sequence: first + 1,
		}, true))
	case a.Held && p.Length > 0:
		x := Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Ack,
			Sequence: first + 1,
			Ack:      p.Sequence + uint32(p.Length),
			Length:   answerLength,
		}, true)
		time.AfterFunc(s.config.RequestDuration, func() { s.send(x) })
	case !a.Held:
		b[0] |= bitReturned
		s.send(b)
	}
}

// take updates the flows and says what the packet met.
func (s *Server) take(p segment.Segment) (first uint32, a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a = Arrival{
		Packet: p,
		At:     time.Now(),
	}
	if p.Initial() {
		a.Accepted = true
		return s.accept(p), a
	}
	first, a.Held = s.open[p.Tuple]
	if half, ok := s.half[p.Tuple]; !a.Held && ok && p.Has(segment.Ack) && p.Ack == half+1 {
		delete(s.half, p.Tuple)
		s.open[p.Tuple] = half
		first = half
		a.Held = true
		a.Opened = true
	}
	if a.Held && p.Flags&(segment.Fin|segment.Rst) != 0 {
		delete(s.open, p.Tuple)
	}
	return first, a
}

// accept returns the sequence number with which a first packet is accepted. The lock
// is held.
func (s *Server) accept(p segment.Segment) uint32 {
	first, ok := s.half[p.Tuple]
	if !ok {
		s.accepted++
		first = uint32(s.born)<<10 + uint32(s.accepted)
		s.half[p.Tuple] = first
	}
	return first
}

func (s *Server) send(b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, s.config.Outbound)
}
