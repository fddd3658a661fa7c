package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// proxy carries what machines send to each other, so that links can be cut. Each machine listens
// at its own address, 127.N.7.i, and is known to the others by 127.N.8.i, where the proxy listens.
type proxy struct {
	mu      sync.Mutex
	network byte
	sockets map[netip.AddrPort]*net.UDPConn
	zones   map[byte]string
	// cutZone is cut off from all other zones while it is not empty.
	cutZone string
}

func (p *proxy) own(i byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, 7, i}), port)
}

func (p *proxy) known(i byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, 8, i}), port)
}

func machineOf(a netip.AddrPort) byte {
	b := a.Addr().Unmap().As4()
	return b[3]
}

// cut cuts a zone off from all others, or heals the cut if zone is empty.
func (p *proxy) cut(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutZone = zone
}

func (p *proxy) passes(from, to byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := p.zones[from], p.zones[to]
	return p.cutZone == "" || a == b || (a != p.cutZone && b != p.cutZone)
}

// serve carries datagrams and connections to one port of a machine.
func (p *proxy) serve(i byte, port uint16, tcp bool) error {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.known(i, port)))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.sockets[p.known(i, port)] = u
	p.mu.Unlock()
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, from, err := u.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			sender := machineOf(from)
			if !p.passes(sender, i) {
				continue
			}
			p.mu.Lock()
			s := p.sockets[p.known(sender, from.Port())]
			p.mu.Unlock()
			if s != nil {
				_, _ = s.WriteToUDPAddrPort(b[:n], p.own(i, port))
			}
		}
	}()
	if !tcp {
		return nil
	}
	l, err := net.Listen("tcp4", p.known(i, port).String())
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(c, i, port)
		}
	}()
	return nil
}

// connect carries one connection. All processes connect from the same loopback address, so the
// zone of the caller is not known: a machine in a zone that is cut off takes no connection.
func (p *proxy) connect(c net.Conn, i byte, port uint16) {
	defer func() { _ = c.Close() }()
	p.mu.Lock()
	cut := p.cutZone != "" && p.zones[i] == p.cutZone
	p.mu.Unlock()
	if cut {
		return
	}
	s, err := net.Dial("tcp4", p.own(i, port).String())
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.Close()
	}()
	_, _ = io.Copy(c, s)
}
