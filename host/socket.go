package host

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/flow"
)

// ResetWriter appends the packet that resets a flow to b.
type ResetWriter func(b []byte, t flow.Tuple, sequence uint32) []byte

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 64 << 10
	// readBuffer is the size of the socket's receive buffer in bytes. It holds the
	// packets of a burst while the process is not scheduled.
	readBuffer = 1 << 20
)

// socket is a UDP socket.
type socket struct {
	conn *net.UDPConn
}

func openSocket(a netip.AddrPort) (*socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", a)
	}
	_ = c.SetReadBuffer(readBuffer)
	return &socket{
		conn: c,
	}, nil
}

// serve calls f for each datagram until the socket is closed. The data is only
// valid during the call.
func (s *socket) serve(f func(from netip.AddrPort, b []byte)) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// The ICMP error for a datagram to a closed port is reported here.
			continue
		}
		f(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

func (s *socket) send(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return errors.Wrap(err, "send datagram")
}

func (s *socket) close() {
	_ = s.conn.Close()
}
