// Package control carries control messages between the processes of the
// system: protobuf envelopes on one yamux stream per connection.
package control

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/lentilshed/lentilshed/controlpb"
	"google.golang.org/protobuf/encoding/protodelim"
)

// ErrNoHello is returned for a peer whose first message is not a hello.
var ErrNoHello = errors.New("first message of the peer is not a hello")

const (
	// queueSize is the number of messages that may wait to be written to one peer.
	// The connection to a peer that falls behind is closed; the side that dialed
	// opens it again with a new hello.
	queueSize         = 512
	handshakeTimeout  = 2 * time.Second
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 3 * time.Second
	maxMessageBytes   = 4 << 20
)

// ByteCounts counts the bytes that control connections sent and received.
type ByteCounts struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Conn is one connection to a peer. Send and Close are safe for concurrent use.
type Conn struct {
	// Peer is the peer's hello.
	Peer *controlpb.Hello
	// Dialed is true on the side that opened the connection.
	Dialed bool
	// Address is the address that was dialed; empty on the accepting side.
	Address string

	session *yamux.Session
	stream  net.Conn
	queue   chan *controlpb.Envelope
	closed  chan struct{}
	once    sync.Once
}

// Handler holds the callbacks and settings of connections. The functions are
// called from the goroutine that reads the connection.
type Handler struct {
	// Hello returns the hello that this process sends when a connection opens.
	Hello func() *controlpb.Hello
	// Open is called when the peer's hello has been received.
	Open func(c *Conn)
	// Message is called for each envelope after the hello.
	Message func(c *Conn, e *controlpb.Envelope)
	// Close is called when a connection that was reported to Open has ended; no
	// Message follows.
	Close func(c *Conn)
	// Bytes counts the traffic; nil counts nothing.
	Bytes *ByteCounts
	// KeepAliveInterval is the time between probes of connections that this side
	// dialed; zero means 2 s. The accepting side sends none.
	KeepAliveInterval time.Duration
}

// Send queues a message. It returns false when the connection is closed, or when
// the queue is full because the peer has fallen behind; Send then closes the
// connection.
func (c *Conn) Send(e *controlpb.Envelope) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- e:
		return true
	default:
		c.Close()
		return false
	}
}

// Close closes the connection; messages that are still queued are lost. It may be
// called more than once.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.session.Close()
	})
}

// dial opens a connection to an address and a stream on it.
func dial(address string, h Handler) (*Conn, error) {
	n, err := net.DialTimeout("tcp", address, handshakeTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	s, err := yamux.Client(countBytes(n, h.Bytes), dialConfig(h.KeepAliveInterval))
	if err != nil {
		_ = n.Close()
		return nil, errors.Wrap(err, "open session")
	}
	t, err := s.Open()
	if err != nil {
		_ = s.Close()
		return nil, errors.Wrap(err, "open stream")
	}
	c := newConn(s, t)
	c.Dialed = true
	c.Address = address
	return c, nil
}

// acceptStream accepts the stream that a peer opens on a new connection. On an error it
// closes the connection.
func acceptStream(n net.Conn, h Handler) (*Conn, error) {
	s, err := yamux.Server(countBytes(n, h.Bytes), sessionConfig())
	if err != nil {
		_ = n.Close()
		return nil, errors.Wrap(err, "open session")
	}
	timer := time.AfterFunc(handshakeTimeout, func() { _ = s.Close() })
	defer timer.Stop()
	t, err := s.Accept()
	if err != nil {
		_ = s.Close()
		return nil, errors.Wrap(err, "accept stream")
	}
	return newConn(s, t), nil
}

func newConn(s *yamux.Session, t net.Conn) *Conn {
	return &Conn{
		session: s,
		stream:  t,
		queue:   make(chan *controlpb.Envelope, queueSize),
		closed:  make(chan struct{}),
	}
}

// serve exchanges hellos and reads until the connection fails or is closed. The
// connection is closed when serve returns.
func (c *Conn) serve(h Handler) error {
	defer c.Close()
	c.Send(&controlpb.Envelope{
		Body: &controlpb.Envelope_Hello{
			Hello: h.Hello(),
		},
	})
	go c.write()
	r := bufio.NewReader(c.stream)
	if err := c.readHello(r); err != nil {
		return err
	}
	h.Open(c)
	defer h.Close(c)
	for {
		e, err := readEnvelope(r)
		if err != nil {
			return err
		}
		h.Message(c, e)
	}
}

func (c *Conn) readHello(r *bufio.Reader) error {
	timer := time.AfterFunc(handshakeTimeout, c.Close)
	defer timer.Stop()
	e, err := readEnvelope(r)
	if err != nil {
		return err
	}
	c.Peer = e.GetHello()
	if c.Peer == nil {
		return ErrNoHello
	}
	return nil
}

// write sends queued messages. It flushes when the queue is empty, so that waiting
// messages share a flush.
func (c *Conn) write() {
	defer c.Close()
	w := bufio.NewWriter(c.stream)
	for {
		select {
		case <-c.closed:
			return
		case e := <-c.queue:
			if _, err := protodelim.MarshalTo(w, e); err != nil {
				return
			}
			if len(c.queue) == 0 && w.Flush() != nil {
				return
			}
		}
	}
}

func readEnvelope(r *bufio.Reader) (*controlpb.Envelope, error) {
	e := &controlpb.Envelope{}
	o := protodelim.UnmarshalOptions{
		MaxSize: maxMessageBytes,
	}
	if err := o.UnmarshalFrom(r, e); err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	return e, nil
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

func dialConfig(interval time.Duration) *yamux.Config {
	c := sessionConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	if interval > 0 {
		c.KeepAliveInterval = interval
	}
	return c
}
