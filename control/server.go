package control

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Server accepts control connections.
type Server struct {
	listener net.Listener
	handler  Handler
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    map[*Conn]bool
	closed   bool
}

// Listen starts to accept connections at an address.
func Listen(address string, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for control connections")
	}
	s := &Server{
		listener: l,
		handler:  h,
		conns:    map[*Conn]bool{},
	}
	s.wait.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting, closes all connections and waits for their readers.
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

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		n, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Add(1)
		go s.serve(n)
	}
}

func (s *Server) serve(n net.Conn) {
	defer s.wait.Done()
	c, err := accept(n, s.handler)
	if err != nil {
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

func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}
