package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is a fault of the link from one instance to another. loss is the fraction of
// datagrams that are dropped. loss and delay do not affect TCP connections.
type linkFault struct {
	cut   bool
	loss  float64
	delay time.Duration
}

// proxy relays the traffic between instances and injects link faults. Each instance has a
// front address, to which the others send; the proxy relays from there to the instance's
// own address.
type proxy struct {
	mu      sync.Mutex
	rand    *rand.Rand
	faults  map[[2]int]linkFault
	sockets map[netip.AddrPort]*net.UDPConn
	conns   map[net.Conn]bool
	// stalled holds the connections that no longer relay anything. New connections do.
	stalled   map[net.Conn]bool
	listeners []net.Listener
	// network is the second octet of the loopback network 127.N.0.0/16.
	network byte
	closed  bool
	// observe is called for each datagram that is delivered to an instance, if it is not nil.
	observe func(n int, b []byte)
}

func newProxy(network byte, seed uint64) *proxy {
	return &proxy{
		rand:    rand.New(rand.NewPCG(seed, 11)),
		faults:  map[[2]int]linkFault{},
		sockets: map[netip.AddrPort]*net.UDPConn{},
		conns:   map[net.Conn]bool{},
		stalled: map[net.Conn]bool{},
		network: network,
	}
}

// ownAddress returns the address at which instance n listens, and frontAddress the one to
// which other instances send.
func (p *proxy) ownAddress(n, port int) netip.AddrPort   { return p.address(7, n, port) }
func (p *proxy) frontAddress(n, port int) netip.AddrPort { return p.address(8, n, port) }

// address returns the address 127.N.subnet.n. The subnets are 6 for the store, 7 and 8 for
// own and front addresses of instances, and 9 for callers.
func (p *proxy) address(subnet, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, byte(subnet), byte(n)}), uint16(port))
}

// instanceOf returns the number of the instance that has the address, own or front.
func instanceOf(a netip.AddrPort) int { return int(a.Addr().As4()[3]) }

// setFault sets the fault of the link from one instance to another; the zero value
// removes it. Instance 0 is the store.
func (p *proxy) setFault(from, to int, f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[[2]int{from, to}] = f
}

// clearFaults removes the faults of all links.
func (p *proxy) clearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = map[[2]int]linkFault{}
}

// passes returns the delay of one datagram, and whether it is delivered at all.
func (p *proxy) passes(from, to int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[[2]int{from, to}]
	return f.delay, !f.cut && p.rand.Float64() >= f.loss
}

// relayDatagrams relays the datagrams that are sent to a front address of instance n.
func (p *proxy) relayDatagrams(n, port int) error {
	a := p.frontAddress(n, port)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.sockets[a] = c
	p.mu.Unlock()
	go func() {
		b := make([]byte, 64<<10)
		for {
			k, from, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			p.forward(from, p.ownAddress(n, port), append([]byte(nil), b[:k]...))
		}
	}()
	return nil
}

// forward relays a datagram from the front address of its sender, so that replies pass
// through the proxy too.
func (p *proxy) forward(from, to netip.AddrPort, b []byte) {
	delay, ok := p.passes(instanceOf(from), instanceOf(to))
	if !ok {
		return
	}
	send := func() {
		p.mu.Lock()
		s := p.sockets[p.frontAddress(instanceOf(from), int(from.Port()))]
		p.mu.Unlock()
		if p.observe != nil {
			p.observe(instanceOf(to), b)
		}
		if s != nil {
			_, _ = s.WriteToUDPAddrPort(b, to)
		}
	}
	if delay == 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}

// relayConnections accepts TCP connections at one address and relays them to another. The
// cuts of the links between the instances from and dest apply; a negative from stands for
// the instance that connects.
func (p *proxy) relayConnections(ctx context.Context, at, to netip.AddrPort, from, dest int) error {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relayConnection(ctx, c, to, from, dest)
		}
	}()
	return nil
}

func (p *proxy) relayConnection(ctx context.Context, client net.Conn, to netip.AddrPort, from, dest int) {
	defer p.closeConn(client)
	if from < 0 {
		a, _ := netip.ParseAddrPort(client.RemoteAddr().String())
		from = instanceOf(a)
	}
	var d net.Dialer
	server, err := d.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return
	}
	defer p.closeConn(server)
	p.mu.Lock()
	p.conns[client] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	go p.copyStream(client, server, client, from, dest)
	p.copyStream(server, client, client, dest, from)
}

// copyStream copies one direction of a connection. It holds the bytes back while the link
// is cut or the connection is stalled.
func (p *proxy) copyStream(from, to, client net.Conn, a, b int) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for p.blocked(client, a, b) {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// blocked reports whether a connection is stalled or its link from a to b is cut.
func (p *proxy) blocked(client net.Conn, a, b int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.stalled[client] || p.faults[[2]int{a, b}].cut)
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.stalled, c)
}

// breakConnections stalls all open connections, or closes them if reset is set.
func (p *proxy) breakConnections(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if reset {
			_ = c.Close()
			continue
		}
		p.stalled[c] = true
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sockets {
		_ = s.Close()
	}
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.conns {
		_ = c.Close()
	}
}
