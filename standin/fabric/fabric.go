// Package fabric is a stand-in for the network fabric: it sprays callers'
// packets over the balancers and takes the answers that agents return.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/tcpstack"
)

// Config says where a fabric stands and how far callers are away.
type Config struct {
	// Address is the UDP address for answers, "127.0.0.1:0" for any port.
	Address string
	// CallerDelay is the one-way latency between callers and the system.
	CallerDelay time.Duration
	Seed        uint64
	// KeepAliveIdle is the silence after which callers probe a flow; zero never.
	KeepAliveIdle time.Duration
}

// Fabric carries the packets of stand-in callers.
type Fabric struct {
	config    Config
	socket    *net.UDPConn
	line      *Link
	stack     *tcpstack.Stack
	mu        sync.Mutex
	codec     *packet.Codec
	rand      *rand.Rand
	balancers []netip.AddrPort
	inbound   *packet.Codec
	wait      sync.WaitGroup
	// Sprayed counts the packets sent to balancers.
	Sprayed atomic.Uint64
}

// New opens a fabric without balancers.
func New(c Config) (*Fabric, error) {
	a, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, errors.Wrap(err, "fabric address")
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen for answers")
	}
	_ = s.SetReadBuffer(4 << 20)
	f := &Fabric{
		config:  c,
		socket:  s,
		line:    NewLink(c.Seed),
		codec:   packet.NewCodec(),
		inbound: packet.NewCodec(),
		rand:    rand.New(rand.NewPCG(c.Seed, 4)),
	}
	f.stack, err = tcpstack.New(tcpstack.Config{
		Output:            f.spray,
		KeepAliveIdle:     c.KeepAliveIdle,
		KeepAliveInterval: time.Second,
		KeepAliveCount:    3,
	})
	if err != nil {
		_ = s.Close()
		return nil, errors.Wrap(err, "callers' stack")
	}
	f.wait.Add(1)
	go f.read()
	return f, nil
}

// Address returns the UDP address for answers.
func (f *Fabric) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(f.socket.LocalAddr().String())
	return a
}

// SetBalancers replaces the balancers that packets are sprayed over.
func (f *Fabric) SetBalancers(l []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), l...)
}

// SetFaults replaces the faults between callers and balancers.
func (f *Fabric) SetFaults(x Faults) {
	f.line.SetFaults(x)
}

// Dial opens a flow as a caller at an address.
func (f *Fabric) Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	return f.stack.Dial(ctx, from, to)
}

// Close ends all flows.
func (f *Fabric) Close() {
	_ = f.socket.Close()
	f.wait.Wait()
	f.stack.Close()
	f.line.Close()
}

// spray sends one packet of a caller to any balancer.
func (f *Fabric) spray(b []byte) {
	f.line.Send(b, f.config.CallerDelay, func(b []byte) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.balancers) == 0 {
			return
		}
		to := f.balancers[f.rand.IntN(len(f.balancers))]
		d, reason := f.codec.EncodePlain(b)
		if reason != packet.ReasonNone {
			return
		}
		f.Sprayed.Add(1)
		_, _ = f.socket.WriteToUDPAddrPort(d, to)
	})
}

// read passes answers to the callers.
func (f *Fabric) read() {
	defer f.wait.Done()
	b := make([]byte, packet.MaxSize+1)
	for {
		n, _, err := f.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, reason := f.inbound.DecodePlain(b[:n])
		if reason != packet.ReasonNone {
			continue
		}
		f.line.Send(p, f.config.CallerDelay, f.stack.Inject)
	}
}
