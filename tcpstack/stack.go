// Package tcpstack runs TCP in user space. Its user passes IPv4 packets in and
// receives those that the stack sends. Agents terminate callers' flows with it;
// the stand-in callers dial through it.
package tcpstack

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// ErrStack is returned when the TCP stack rejects an option or an address.
var ErrStack = errors.New("tcp stack")

const (
	nicID = 1
	// MTU leaves room for the outer headers within 1500 bytes.
	MTU           = 1400
	queueSize     = 4096
	timeWait      = 5 * time.Second
	maxHandshakes = 1024
	bufferMin     = 4 << 10
	bufferDefault = 32 << 10
	bufferMax     = 256 << 10
	maxRetries    = 8
)

// Config configures a Stack.
type Config struct {
	// Output is called with each packet that the stack sends; b is valid during
	// the call.
	Output func(b []byte)
	// Accept is called with each new flow; nil refuses them all.
	Accept func(r *Request)
	// KeepAliveIdle is the silence after which the other side of an accepted flow is
	// probed; zero disables probes. Flows of Dial are not probed.
	KeepAliveIdle time.Duration
	// KeepAliveInterval is the time between probes, KeepAliveCount the number of
	// unanswered probes after which the flow ends.
	KeepAliveInterval time.Duration
	KeepAliveCount    int
}

// Stack is one user-space TCP stack. It is safe for concurrent use.
type Stack struct {
	config Config
	stack  *stack.Stack
	link   *channel.Endpoint
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a running stack that accepts packets for any address.
func New(c Config) (*Stack, error) {
	s := &Stack{
		config: c,
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link: channel.New(queueSize, MTU, ""),
	}
	if err := s.configure(); err != nil {
		s.stack.Close()
		return nil, err
	}
	f := tcp.NewForwarder(s.stack, bufferDefault, maxHandshakes, s.accept)
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, func(id stack.TransportEndpointID, p *stack.PacketBuffer) bool {
		f.HandlePacket(id, p)
		// The stack sends no resets for unknown flows; its user decides about them.
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Add(1)
	go s.output(ctx)
	return s, nil
}

// Inject passes one IPv4 packet to the stack; b is copied.
func (s *Stack) Inject(b []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{
		Payload: buffer.MakeWithData(b),
	})
	s.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Dial opens a flow from a given address and port.
func (s *Stack) Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	c, err := gonet.DialTCPWithBind(ctx, s.stack, fullAddress(from), fullAddress(to), ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.Wrap(err, "dial flow")
	}
	return c, nil
}

// Close ends all flows without notifying the other side, and stops the stack.
func (s *Stack) Close() {
	s.cancel()
	s.stack.Close()
	s.link.Close()
	s.wait.Wait()
}

func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(nicID, s.link); err != nil {
		return errors.Wrapf(ErrStack, "create interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(nicID, true); err != nil {
		return errors.Wrapf(ErrStack, "accept any address: %s", err)
	}
	if err := s.stack.SetSpoofing(nicID, true); err != nil {
		return errors.Wrapf(ErrStack, "send from any address: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{
		Destination: header.IPv4EmptySubnet,
		NIC:         nicID,
	}})
	return s.configureTCP()
}

func (s *Stack) configureTCP() error {
	sack := tcpip.TCPSACKEnabled(true)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	retries := tcpip.TCPMaxRetriesOption(maxRetries)
	receive := tcpip.TCPReceiveBufferSizeRangeOption{
		Min:     bufferMin,
		Default: bufferDefault,
		Max:     bufferMax,
	}
	send := tcpip.TCPSendBufferSizeRangeOption{
		Min:     bufferMin,
		Default: bufferDefault,
		Max:     bufferMax,
	}
	for _, o := range []tcpip.SettableTransportProtocolOption{&sack, &wait, &retries, &receive, &send} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return errors.Wrapf(ErrStack, "set option: %s", err)
		}
	}
	return nil
}

// output passes the packets that the stack sends to Config.Output until the
// stack is closed.
func (s *Stack) output(ctx context.Context) {
	defer s.wait.Done()
	for {
		p := s.link.ReadContext(ctx)
		if p == nil {
			return
		}
		v := p.ToView()
		s.config.Output(v.AsSlice())
		v.Release()
		p.DecRef()
	}
}

func (s *Stack) accept(r *tcp.ForwarderRequest) {
	id := r.ID()
	q := &Request{
		stack:   s,
		request: r,
		From:    netip.AddrPortFrom(netip.AddrFrom4(id.RemoteAddress.As4()), id.RemotePort),
		To:      netip.AddrPortFrom(netip.AddrFrom4(id.LocalAddress.As4()), id.LocalPort),
	}
	if s.config.Accept == nil {
		q.Refuse()
		return
	}
	s.config.Accept(q)
}

// enableKeepAlive makes the stack end a flow that the other side has lost.
func (s *Stack) enableKeepAlive(e tcpip.Endpoint) {
	if s.config.KeepAliveIdle <= 0 {
		return
	}
	idle := tcpip.KeepaliveIdleOption(s.config.KeepAliveIdle)
	interval := tcpip.KeepaliveIntervalOption(s.config.KeepAliveInterval)
	_ = e.SetSockOpt(&idle)
	_ = e.SetSockOpt(&interval)
	_ = e.SetSockOptInt(tcpip.KeepaliveCountOption, s.config.KeepAliveCount)
	e.SocketOptions().SetKeepAlive(true)
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{
		NIC:  nicID,
		Addr: tcpip.AddrFrom4(a.Addr().As4()),
		Port: a.Port(),
	}
}

// newConn wraps an endpoint of the stack.
func newConn(q *waiter.Queue, e tcpip.Endpoint) *Conn {
	return &Conn{
		TCPConn:  gonet.NewTCPConn(q, e),
		endpoint: e,
	}
}
