// Package usersbackend is a stand-in for a backend server of the users' platform. It
// implements the transport protocol of flows itself, over UDP.
package usersbackend

import (
	"bytes"
	"cmp"
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

// HeaderSize is the size of a packet, which has no data.
const HeaderSize = 32

const (
	checksumOffset = 26
	returnedBit    = 8
	// checksumKey is the initial value of the checksum over the fields that must not
	// change in transit.
	checksumKey = 0x5eed
	// slots is the number of requests that a server handles at a time, according to its
	// heartbeats.
	slots = 5
	// answerLength is the size of each answer, in bytes.
	answerLength = 100

	heartbeatInterval = 300 * time.Millisecond

	listenTries = 50
	listenPause = 20 * time.Millisecond
)

// Config configures a backend server.
type Config struct {
	Service string
	// Address receives packets over UDP and health checks over TCP.
	Address netip.AddrPort
	// Outbound is the UDP address to which the server sends its packets.
	Outbound netip.AddrPort
	// HeartbeatURL is the base URL for heartbeats and the deregistration.
	HeartbeatURL string
	// RequestDuration is the time that a request takes.
	RequestDuration time.Duration
	// Slots is the number of requests that are processed at a time. Zero processes all at
	// once, and heartbeats then have the usual number of slots.
	Slots int
	// Warmup is the time after its start for which the server reports that it is cold.
	Warmup time.Duration
	// Observe is called for each packet that arrives, if it is not nil.
	Observe func(Arrival)
}

// Arrival is a packet at a backend server.
type Arrival struct {
	Packet segment.Segment
	At     time.Time
	// Accepted is set if the packet is a first packet, which the server accepts. For
	// other packets, Held is set if the flow is open at this server, and Opened if this
	// packet opened it.
	Held     bool
	Opened   bool
	Accepted bool
	// Intact is false if the packet is not as its caller encoded it.
	Intact bool
}

// Server is a running backend server.
type Server struct {
	config Config
	conn   *net.UDPConn
	// listener is closed with the server, which closes it itself only once it accepts
	// connections.
	listener net.Listener
	http     *http.Server
	// incarnation is the start time in milliseconds since the Unix epoch.
	incarnation int64
	mu          sync.Mutex
	sequence    int
	draining    bool
	accepted    int
	// halfOpen has the flows whose caller has not acknowledged the acceptance yet, and
	// open the established ones. The values are the server's initial sequence numbers.
	halfOpen map[flow.Tuple]uint32
	open     map[flow.Tuple]uint32
	work     work
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
		return nil, errors.Wrap(err, "listen for health checks")
	}
	s := &Server{
		config:   c,
		conn:     u,
		listener: l,
		http: &http.Server{
			Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ReadHeaderTimeout: time.Second,
		},
		incarnation: time.Now().UnixMilli(),
		halfOpen:    map[flow.Tuple]uint32{},
		open:        map[flow.Tuple]uint32{},
		work: work{
			exchanges: map[flow.Tuple]*exchange{},
			freeSince: time.Now(),
		},
		done: make(chan struct{}),
	}
	go func() { _ = s.http.Serve(l) }()
	go s.serve()
	go s.sendHeartbeats()
	return s, nil
}

// listen retries, because an earlier backend server may not have released the address
// yet.
func listen(a netip.AddrPort) (*net.UDPConn, error) {
	for i := 0; ; i++ {
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		if err == nil || i == listenTries {
			return u, errors.Wrap(err, "listen")
		}
		time.Sleep(listenPause)
	}
}

// Close stops the backend server as a crash would: it neither deregisters nor ends
// its flows.
func (s *Server) Close() {
	close(s.done)
	_ = s.http.Close()
	_ = s.listener.Close()
	_ = s.conn.Close()
}

// Drain announces in a heartbeat that the backend server is draining, and reports
// whether that was acknowledged.
func (s *Server) Drain() bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.sendHeartbeat()
}

// Deregister announces that the backend server is about to stop. Errors are ignored.
func (s *Server) Deregister() {
	p, err := http.Post(fmt.Sprintf("%s/lentilshed/instances/i-%d/deregister", s.config.HeartbeatURL, s.incarnation), "application/json", nil)
	if err == nil {
		_ = p.Body.Close()
	}
}

// Holds reports whether a flow is open at this server.
func (s *Server) Holds(t flow.Tuple) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.open[t]
	return ok
}

// Accepted returns the number of flows accepted so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *Server) sendHeartbeats() {
	for {
		s.sendHeartbeat()
		select {
		case <-s.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeatClient has a timeout of 1 s because a later acknowledgement does not count.
var heartbeatClient = &http.Client{
	Timeout: time.Second,
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (s *Server) sendHeartbeat() bool {
	return s.postHeartbeat(fmt.Sprintf("i-%d", s.incarnation), s.heartbeat())
}

// heartbeat returns the fields of the next heartbeat.
func (s *Server) heartbeat() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"service":         s.config.Service,
		"address":         s.config.Address.String(),
		"max_concurrency": cmp.Or(s.config.Slots, slots),
		"state":           state,
		"warmup_left_ms":  max(0, (s.config.Warmup - time.Since(time.UnixMilli(s.incarnation))).Milliseconds()),
		"seq_no":          s.sequence,
		"born":            s.incarnation,
	}
}

// postHeartbeat sends one heartbeat under an id and reports whether it was acknowledged.
func (s *Server) postHeartbeat(id string, fields map[string]any) bool {
	b, err := json.Marshal(fields)
	if err != nil {
		return false
	}
	p, err := heartbeatClient.Post(fmt.Sprintf("%s/lentilshed/instances/%s/heartbeat", s.config.HeartbeatURL, id), "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// malformedFields are what other writers put into a heartbeat; nil stands for a missing field.
var malformedFields = []struct {
	name  string
	value any
}{
	{name: "born"},
	{name: "born", value: uint64(1) << 60},
	{name: "born", value: "yesterday"},
	{name: "address", value: "127.0.0.1:70000"},
	{name: "warmup_left_ms", value: -1},
	{name: "seq_no", value: 1e300},
}

// MalformedHeartbeats is the number of heartbeats that SendMalformedHeartbeat can send.
func MalformedHeartbeats() int {
	return len(malformedFields)
}

// SendMalformedHeartbeat sends the heartbeat of another writer, under an id of its own, in
// which one field is missing or malformed. It reports whether it was acknowledged.
func (s *Server) SendMalformedHeartbeat(i int) bool {
	h := s.heartbeat()
	f := malformedFields[i]
	if f.value == nil {
		delete(h, f.name)
	} else {
		h[f.name] = f.value
	}
	return s.postHeartbeat("i-other", h)
}

func (s *Server) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n >= HeaderSize {
			s.handle(b[:n])
		}
	}
}

// handle accepts first packets, answers data and the end of a flow, and returns
// packets of flows that the server does not hold.
func (s *Server) handle(b []byte) {
	p := DecodeFromCaller(b)
	initial, a := s.track(p)
	a.Intact = binary.LittleEndian.Uint32(b[checksumOffset:]) == checksum(b)
	if s.config.Observe != nil {
		s.config.Observe(a)
	}
	switch {
	case p.Initial():
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Syn | segment.Ack,
			Sequence: initial,
			Ack:      p.Sequence + 1,
		}, true))
	case a.Held && p.Has(segment.Fin):
		s.send(Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Fin | segment.Ack,
			Sequence: initial + 1,
		}, true))
	case a.Held && p.Length > 0 && s.config.Slots > 0:
		s.request(p, initial)
	case a.Held && p.Length > 0:
		reply := Encode(segment.Segment{
			Tuple:    p.Tuple,
			Flags:    segment.Ack,
			Sequence: initial + 1,
			Ack:      p.Sequence + uint32(p.Length),
			Length:   answerLength,
		}, true)
		time.AfterFunc(s.config.RequestDuration, func() { s.send(reply) })
	case !a.Held:
		b[0] |= returnedBit
		s.send(b)
	}
}

// track updates the flows with a packet and describes its arrival. It returns the
// initial sequence number of the server's side of the flow, if there is one.
func (s *Server) track(p segment.Segment) (initial uint32, a Arrival) {
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
	initial, a.Held = s.open[p.Tuple]
	if half, ok := s.halfOpen[p.Tuple]; !a.Held && ok && p.Has(segment.Ack) && p.Ack == half+1 {
		delete(s.halfOpen, p.Tuple)
		s.open[p.Tuple] = half
		initial = half
		a.Held = true
		a.Opened = true
	}
	if a.Held && p.Flags&(segment.Fin|segment.Rst) != 0 {
		delete(s.open, p.Tuple)
		delete(s.work.exchanges, p.Tuple)
	}
	return initial, a
}

// accept returns the initial sequence number with which a first packet is accepted.
// One that is repeated before the flow opens gets the same number. The lock must be
// held.
func (s *Server) accept(p segment.Segment) uint32 {
	initial, ok := s.halfOpen[p.Tuple]
	if !ok {
		s.accepted++
		initial = uint32(s.incarnation)<<10 + uint32(s.accepted)
		s.halfOpen[p.Tuple] = initial
	}
	return initial
}

func (s *Server) send(b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, s.config.Outbound)
}
