package control

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/stretchr/testify/require"
)

// recorder records the calls of its handler.
type recorder struct {
	mu       sync.Mutex
	opened   []*Conn
	messages []*controlpb.Envelope
	closed   int
}

func (r *recorder) handler(name string) Handler {
	return Handler{
		Hello: func() *controlpb.Hello {
			return &controlpb.Hello{
				Name: name,
			}
		},
		Open: func(c *Conn) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.opened = append(r.opened, c)
		},
		Message: func(_ *Conn, e *controlpb.Envelope) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.messages = append(r.messages, e)
		},
		Close: func(*Conn) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.closed++
		},
	}
}

func (r *recorder) counts() (opened, messages, closed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.opened), len(r.messages), r.closed
}

func heartbeat(n uint64) *controlpb.Envelope {
	return &controlpb.Envelope{
		Body: &controlpb.Envelope_Beat{
			Beat: &controlpb.Beat{
				Sequence: n,
			},
		},
	}
}

const testTimeout = 10 * time.Second

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, testTimeout, 5*time.Millisecond)
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	a := &recorder{}
	b := &recorder{}
	s, err := Listen("127.0.0.1:0", b.handler("b"))
	require.NoError(t, err)
	defer s.Close()
	d := NewDialer(a.handler("a"))
	defer d.Close()
	d.SetAddresses([]string{s.Address()})
	eventually(t, func() bool { n, _, _ := a.counts(); return n == 1 })
	require.Equal(t, "b", a.opened[0].Peer.GetName())
	const count = 300
	for i := range uint64(count) {
		require.True(t, a.opened[0].Send(heartbeat(i)))
	}
	eventually(t, func() bool { _, n, _ := b.counts(); return n == count })
	for i, e := range b.messages {
		require.Equal(t, uint64(i), e.GetBeat().GetSequence())
	}
}

// TestSlowPeerIsDisconnected fills the queue of a peer that does not read. Send must
// fail, and the connection must close.
func TestSlowPeerIsDisconnected(t *testing.T) {
	a := &recorder{}
	block := make(chan struct{})
	b := &recorder{}
	h := b.handler("b")
	h.Message = func(*Conn, *controlpb.Envelope) { <-block }
	s, err := Listen("127.0.0.1:0", h)
	require.NoError(t, err)
	d := NewDialer(a.handler("a"))
	d.SetAddresses([]string{s.Address()})
	eventually(t, func() bool { n, _, _ := a.counts(); return n == 1 })
	big := heartbeat(1)
	big.GetBeat().Holder = string(make([]byte, 64<<10))
	sent := 0
	for a.opened[0].Send(big) && sent < 10*queueSize {
		sent++
	}
	require.Less(t, sent, 10*queueSize)
	eventually(t, func() bool { _, _, n := a.counts(); return n >= 1 })
	close(block)
	d.Close()
	s.Close()
}

// TestDialerReconnects closes the server and starts another one at the same
// address.
func TestDialerReconnects(t *testing.T) {
	a := &recorder{}
	b := &recorder{}
	s, err := Listen("127.0.0.1:0", b.handler("b"))
	require.NoError(t, err)
	d := NewDialer(a.handler("a"))
	defer d.Close()
	d.SetAddresses([]string{s.Address()})
	eventually(t, func() bool { n, _, _ := a.counts(); return n == 1 })
	s.Close()
	eventually(t, func() bool { _, _, n := a.counts(); return n == 1 })
	s, err = Listen(s.Address(), b.handler("b"))
	require.NoError(t, err)
	defer s.Close()
	eventually(t, func() bool { n, _, _ := a.counts(); return n == 2 })
}

// TestUnknownProtocolIsClosed connects with another protocol, HTTP. The server must not
// report the connection to Open. The read fails when the server closes the connection,
// but also at its deadline.
func TestUnknownProtocolIsClosed(t *testing.T) {
	b := &recorder{}
	s, err := Listen("127.0.0.1:0", b.handler("b"))
	require.NoError(t, err)
	defer s.Close()
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	opened, _, _ := b.counts()
	require.Zero(t, opened)
}

// TestClosedDialerOpensNothing guards against connections and goroutines that outlive their
// owner: an agent that stops may still handle a changed table and set its peers.
func TestClosedDialerOpensNothing(t *testing.T) {
	b := &recorder{}
	s, err := Listen("127.0.0.1:0", b.handler("b"))
	require.NoError(t, err)
	defer s.Close()
	d := NewDialer((&recorder{}).handler("a"))
	set := make(chan struct{})
	go func() {
		defer close(set)
		for range 200 {
			d.SetAddresses([]string{s.Address()})
		}
	}()
	d.Close()
	<-set
	d.SetAddresses([]string{s.Address()})
	require.Never(t, func() bool { n, _, _ := b.counts(); return n > 0 }, 300*time.Millisecond, 10*time.Millisecond)
}
