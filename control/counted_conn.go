package control

import "net"

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	bytes *ByteCounts
}

func countBytes(n net.Conn, b *ByteCounts) net.Conn {
	if b == nil {
		return n
	}
	return &countedConn{
		Conn:  n,
		bytes: b,
	}
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Received.Add(uint64(n))
	return n, err //nolint:wrapcheck // A reader passes io.EOF on as it is.
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Sent.Add(uint64(n))
	return n, err //nolint:wrapcheck // A wrapper passes errors on as they are.
}
