package control

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server accepts and serves control connections.
type Server struct {
	listener net.Listener
	handler  Handler
	wait     sync.WaitGroup
	// mu guards conns and closed.
	mu     sync.Mutex
	conns  map[*Conn]bool
	closed bool
}

// Listen starts to accept connections at an address in the background.
func Listen(address string, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for control connections")
	}
	return Serve(l, h), nil
}

// Serve starts to accept connections of a listener in the background.
func Serve(l net.Listener, h Handler) *Server {
	s := &Server{
		listener: l,
		handler:  h,
		conns:    map[*Conn]bool{},
	}
	s.wait.Add(1)
	go s.acceptConns()
	return s
}

// Address returns the address that the listener is bound to, with the port that was
// assigned if Listen got port 0.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting, closes all connections and waits for the goroutines that serve
// them. A connection that is still being set up is closed at the end of its setup.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.wait.Wait()
}

// acceptRetryDelay is the time after a failed Accept before the next one: the process may
// have no descriptor left for a moment.
const acceptRetryDelay = 20 * time.Millisecond

// acceptConns accepts connections until the listener is closed. Any other error is
// transient: a server that stopped accepting would be cut off for good.
func (s *Server) acceptConns() {
	defer s.wait.Done()
	for {
		n, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.wait.Add(1)
		go s.serveConn(n)
	}
}

// serveConn serves one connection until it closes. Errors are dropped: the peer that
// dialed sees the connection close and may dial again.
func (s *Server) serveConn(n net.Conn) {
	defer s.wait.Done()
	c, err := acceptStream(n, s.handler)
	if err != nil {
		// acceptStream has closed the connection.
		return
	}
	if !s.add(c) {
		c.Close()
		return
	}
	_ = c.serve(s.handler)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// add adds an open connection, unless the server is closed, and reports whether it did.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}
