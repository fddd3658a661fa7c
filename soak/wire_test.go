package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fault is what a link does to what passes from one instance to another.
type fault struct {
	cut   bool
	loss  float64
	delay time.Duration
}

// wire is the network between instances: each instance has an address in front of its
// own, and whatever others send there passes a link that may fail.
type wire struct {
	mu      sync.Mutex
	rand    *rand.Rand
	faults  map[[2]int]fault
	sockets map[netip.AddrPort]*net.UDPConn
	conns   map[net.Conn]bool
	// silent connections pass nothing any more, but new ones do.
	silent    map[net.Conn]bool
	listeners []net.Listener
	network   byte
	closed    bool
}

func newWire(network byte, seed uint64) *wire {
	return &wire{
		rand:    rand.New(rand.NewPCG(seed, 11)),
		faults:  map[[2]int]fault{},
		sockets: map[netip.AddrPort]*net.UDPConn{},
		conns:   map[net.Conn]bool{},
		silent:  map[net.Conn]bool{},
		network: network,
	}
}

// own is where instance n itself listens, and front where others send.
func (w *wire) own(n, port int) netip.AddrPort   { return w.at(7, n, port) }
func (w *wire) front(n, port int) netip.AddrPort { return w.at(8, n, port) }

func (w *wire) at(net, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.network, byte(net), byte(n)}), uint16(port))
}

// instance of an address, own or front.
func instanceOf(a netip.AddrPort) int { return int(a.Addr().As4()[3]) }

// set changes the link from one instance to another; the zero fault mends it.
func (w *wire) set(from, to int, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[[2]int{from, to}] = f
}

// mend ends all faults of links.
func (w *wire) mend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = map[[2]int]fault{}
}

// passes decides about one datagram.
func (w *wire) passes(from, to int) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.faults[[2]int{from, to}]
	return f.delay, !f.cut && w.rand.Float64() >= f.loss
}

// datagrams passes on what is sent to a front address.
func (w *wire) datagrams(n, port int) error {
	a := w.front(n, port)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.sockets[a] = c
	w.mu.Unlock()
	go func() {
		b := make([]byte, 64<<10)
		for {
			k, from, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			w.forward(from, w.own(n, port), append([]byte(nil), b[:k]...))
		}
	}()
	return nil
}

// forward sends a datagram on from the front address of its sender, so that answers
// come back this way.
func (w *wire) forward(from, to netip.AddrPort, b []byte) {
	delay, ok := w.passes(instanceOf(from), instanceOf(to))
	if !ok {
		return
	}
	send := func() {
		w.mu.Lock()
		s := w.sockets[w.front(instanceOf(from), int(from.Port()))]
		w.mu.Unlock()
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

// connections passes on what is sent over TCP to an address, to another. From and to
// name the link; a negative instance takes the caller's.
func (w *wire) connections(ctx context.Context, at, to netip.AddrPort, from, dest int) error {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, l)
	w.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.relay(ctx, c, to, from, dest)
		}
	}()
	return nil
}

func (w *wire) relay(ctx context.Context, c net.Conn, to netip.AddrPort, from, dest int) {
	defer w.drop(c)
	if from < 0 {
		a, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		from = instanceOf(a)
	}
	var d net.Dialer
	o, err := d.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return
	}
	defer w.drop(o)
	w.mu.Lock()
	w.conns[c] = true
	closed := w.closed
	w.mu.Unlock()
	if closed {
		return
	}
	go w.pump(c, o, c, from, dest)
	w.pump(o, c, c, dest, from)
}

// pump copies one direction; a link that is cut holds the bytes back.
func (w *wire) pump(from, to, key net.Conn, a, b int) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	p := make([]byte, 32<<10)
	for {
		n, err := from.Read(p)
		if err != nil {
			return
		}
		for w.held(key, a, b) {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := to.Write(p[:n]); err != nil {
			return
		}
	}
}

func (w *wire) held(key net.Conn, a, b int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.closed && (w.silent[key] || w.faults[[2]int{a, b}].cut)
}

func (w *wire) drop(c net.Conn) {
	_ = c.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	delete(w.silent, c)
}

// silence makes all open connections pass nothing any more; reset breaks them.
func (w *wire) silence(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if reset {
			_ = c.Close()
			continue
		}
		w.silent[c] = true
	}
}

func (w *wire) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, s := range w.sockets {
		_ = s.Close()
	}
	for _, l := range w.listeners {
		_ = l.Close()
	}
	for c := range w.conns {
		_ = c.Close()
	}
}
