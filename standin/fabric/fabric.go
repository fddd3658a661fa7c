// Package fabric is a stand-in for the network fabric: it sprays the callers' packets
// over the balancers and receives the packets that agents send back to callers.
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

// Config configures a fabric.
type Config struct {
	// Address is the UDP address that receives packets for callers; "127.0.0.1:0"
	// picks a free port.
	Address string
	// CallerDelay is the one-way latency between callers and the system.
	CallerDelay time.Duration
	Seed        uint64
	// KeepAliveIdle is the silence after which callers probe a flow; 0 disables
	// probes.
	KeepAliveIdle time.Duration
}

// Fabric carries the packets of stand-in callers, which share one TCP stack.
type Fabric struct {
	config    Config
	socket    *net.UDPConn
	link      *Link
	stack     *tcpstack.Stack
	mu        sync.Mutex
	encoder   *packet.Codec
	rand      *rand.Rand
	balancers []netip.AddrPort
	decoder   *packet.Codec
	wait      sync.WaitGroup
	// Sprayed counts the packets sent to balancers.
	Sprayed atomic.Uint64
}

// New starts a fabric without balancers.
func New(c Config) (*Fabric, error) {
	a, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the address of the fabric")
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets from agents")
	}
	_ = s.SetReadBuffer(4 << 20)
	f := &Fabric{
		config:  c,
		socket:  s,
		link:    NewLink(c.Seed),
		encoder: packet.NewCodec(),
		decoder: packet.NewCodec(),
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
		return nil, errors.Wrap(err, "create the TCP stack of the callers")
	}
	f.wait.Add(1)
	go f.read()
	return f, nil
}

// Address returns the UDP address that receives packets for callers.
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
func (f *Fabric) SetFaults(faults Faults) {
	f.link.SetFaults(faults)
}

// Dial opens a flow from a caller's address to a service's address.
func (f *Fabric) Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	return f.stack.Dial(ctx, from, to)
}

// Close stops the fabric and ends all flows.
func (f *Fabric) Close() {
	_ = f.socket.Close()
	f.wait.Wait()
	f.stack.Close()
	f.link.Close()
}

// spray sends one packet of a caller to a random balancer.
func (f *Fabric) spray(b []byte) {
	f.link.Send(b, f.config.CallerDelay, func(b []byte) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.balancers) == 0 {
			return
		}
		to := f.balancers[f.rand.IntN(len(f.balancers))]
		d, reason := f.encoder.EncodePlain(b)
		if reason != packet.ReasonNone {
			return
		}
		f.Sprayed.Add(1)
		_, _ = f.socket.WriteToUDPAddrPort(d, to)
	})
}

// read passes packets from agents to the callers' stack.
func (f *Fabric) read() {
	defer f.wait.Done()
	b := make([]byte, packet.MaxSize+1)
	for {
		n, _, err := f.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, reason := f.decoder.DecodePlain(b[:n])
		if reason != packet.ReasonNone {
			continue
		}
		f.link.Send(p, f.config.CallerDelay, f.stack.Inject)
	}
}
