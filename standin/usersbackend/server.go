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
	headerSize = 32
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
	// Heartbeat is the base URL that takes heartbeats.
	Heartbeat string
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
	open     map[flow.Tuple]uint32
	done     chan struct{}
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

// Drain announces that the backend server leaves, and returns once that is
// acknowledged.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
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

func (s *Server) beat() {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service":         s.config.Service,
		"address":         s.config.Address.String(),
		"max_concurrency": 5,
		"state":           state,
		"warmup_left_ms":  0,
		"seq_no":          s.sequence,
		"born":            s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return
	}
	p, err := http.Post(fmt.Sprintf("%s/lentilshed/instances/i-%d/heartbeat", s.config.Heartbeat, s.born), "application/json", bytes.NewReader(b))
	if err == nil {
		_ = p.Body.Close()
	}
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
	s.mu.Lock()
	first, held := s.open[p.Tuple]
	if p.Initial() && !held {
		s.accepted++
		first = uint32(s.born)<<10 + uint32(s.accepted)
		s.open[p.Tuple] = first
	}
	s.mu.Unlock()
	switch {
	case p.Initial():
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Syn | segment.Ack,
			Sequence: first,
			Ack:      p.Sequence + 1,
		}, true))
	case held && p.Length > 0:
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Ack,
			Sequence: first + 1,
		}, true))
	case !held:
		b[0] |= 8
		s.send(b)
	}
}

func (s *Server) send(b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, s.config.Outbound)
}

// bits are the flags of a header, by the flags of a segment.
var bits = map[segment.Flags]byte{
	segment.Syn: 4,
	segment.Ack: 32,
	segment.Fin: 64,
	segment.Rst: 1,
}

// Encode writes the header of a packet, from the caller of its flow or from the
// backend server. The data is not written, only its length.
func Encode(p segment.Segment, fromServer bool) []byte {
	b := make([]byte, headerSize)
	for f, bit := range bits {
		if p.Has(f) {
			b[0] |= bit
		}
	}
	source, dest := p.Tuple.Caller, p.Tuple.Address
	sourcePort, destPort := p.Tuple.CallerPort, p.Tuple.AddressPort
	if fromServer {
		source, dest = dest, source
		sourcePort, destPort = destPort, sourcePort
	}
	binary.LittleEndian.PutUint32(b[6:], p.Sequence)
	binary.LittleEndian.PutUint32(b[10:], p.Ack)
	binary.LittleEndian.PutUint32(b[14:], source)
	binary.LittleEndian.PutUint32(b[18:], dest)
	binary.LittleEndian.PutUint16(b[22:], destPort)
	binary.LittleEndian.PutUint16(b[24:], sourcePort)
	binary.LittleEndian.PutUint16(b[30:], p.Length)
	return b
}

// decode reads the header of a caller's packet.
func decode(b []byte) segment.Segment {
	p := segment.Segment{
		Tuple: flow.Tuple{
			Caller:      binary.LittleEndian.Uint32(b[14:]),
			Address:     binary.LittleEndian.Uint32(b[18:]),
			AddressPort: binary.LittleEndian.Uint16(b[22:]),
			CallerPort:  binary.LittleEndian.Uint16(b[24:]),
		},
		Sequence: binary.LittleEndian.Uint32(b[6:]),
		Ack:      binary.LittleEndian.Uint32(b[10:]),
		Length:   binary.LittleEndian.Uint16(b[30:]),
	}
	for f, bit := range bits {
		if b[0]&bit != 0 {
			p.Flags |= f
		}
	}
	return p
}
