package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client is a client's machine. All of its flows share one UDP port, that of the platform.
type client struct {
	name   string
	zone   string
	addr   netip.Addr
	conn   *net.UDPConn
	router *router
	rec    *record
	mu     sync.Mutex
	port   uint16
	flows  map[uint16]*flow
}

// flow is one flow of a client.
type flow struct {
	client *client
	key    flowKey
	isn    uint32
	// seq is the next sequence number to send, and ack the next one that is expected.
	seq, ack uint32
	inbox    chan packet
}

var (
	errReset    = errors.New("reset by the system")
	errClosed   = errors.New("reset by the target")
	errDeadline = errors.New("deadline")
)

func newClient(name, zone string, addr netip.Addr, port uint16, r *router, rec *record) (*client, error) {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, zone: zone, addr: addr, conn: u, router: r, rec: rec, port: 40000, flows: map[uint16]*flow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decodePacket(b[:n])
		if !ok {
			continue
		}
		own := p.has(flagRst) && p.sum == 0 && len(p.data) == 0
		if !own && !intact(b[:n]) {
			c.rec.add("%s got a packet that its sender did not write so", c.name)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dport]
		c.mu.Unlock()
		if f != nil && f.key.route == netip.AddrPortFrom(p.src, p.sport) {
			select {
			case f.inbox <- p:
			default:
			}
		}
	}
}

func (c *client) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{
		client: c,
		key:    flowKey{netip.AddrPortFrom(c.addr, c.port), route},
		isn:    rand.Uint32(),
		inbox:  make(chan packet, 64),
	}
	f.seq = f.isn + 1
	c.flows[c.port] = f
	return f
}

func (f *flow) send(p packet) {
	p.src, p.sport = f.key.client.Addr(), f.key.client.Port()
	p.dst, p.dport = f.key.route.Addr(), f.key.route.Port()
	f.client.router.forward(f.client.zone, p)
}

// open opens the flow: a SYN, copies of it after 200 and 600 ms, and the end after 1.4 s.
func (f *flow) open() error {
	start := time.Now()
	at := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := range 3 {
		f.client.rec.sentSyn(f, i)
		f.send(packet{flags: flagSyn, seq: f.isn, ack: uint32(i)})
		wait := time.After(time.Until(start.Add(at[i+1])))
		for waiting := true; waiting; {
			select {
			case <-wait:
				waiting = false
			case p := <-f.inbox:
				switch {
				case p.has(flagRst):
					f.client.rec.add("%s: %s refused", f.client.name, f.name())
					return errReset
				case p.has(flagSyn) && p.has(flagAck) && p.ack == f.isn+1:
					f.ack = p.seq + 1
					f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
					return nil
				}
			}
		}
	}
	f.client.rec.add("%s: %s got no answer to its SYN", f.client.name, f.name())
	return errDeadline
}

func (f *flow) name() string {
	return fmt.Sprintf("flow %s>%s", f.key.client, f.key.route)
}

// request sends a request on the open flow and waits for the response.
func (f *flow) request(id string, deadline time.Duration) error {
	data := []byte("GET /feed HTTP/1.1\r\nHost: boards\r\nRequest-Id: " + id + "\r\n\r\n")
	end := time.Now().Add(deadline)
	next := f.seq + uint32(len(data))
	f.client.rec.add("%s: request %s sent on %s", f.client.name, id, f.name())
	for gap := 200 * time.Millisecond; time.Now().Before(end); gap = min(2*gap, 1600*time.Millisecond) {
		f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data})
		wait := time.After(min(gap, time.Until(end)))
		for waiting := true; waiting; {
			select {
			case <-wait:
				waiting = false
			case p := <-f.inbox:
				switch {
				case p.has(flagRst) && p.sum == 0:
					d := p.seq - f.ack
					if d > 76800 && -d > 76800 {
						f.client.rec.add("%s: reset outside of the window on %s ignored", f.client.name, f.name())
						continue
					}
					f.client.rec.add("%s: request %s: %s was reset by the system", f.client.name, id, f.name())
					return errReset
				case p.has(flagRst):
					return errClosed
				case len(p.data) > 0 && p.seq == f.ack:
					f.ack += uint32(len(p.data))
					f.seq = next
					f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
					f.client.rec.add("%s: request %s answered", f.client.name, id)
					return nil
				case len(p.data) > 0:
					f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				}
			}
		}
	}
	f.client.rec.add("%s: request %s got no answer", f.client.name, id)
	return errDeadline
}

// close closes the flow.
func (f *flow) close() {
	f.send(packet{flags: flagFin | flagAck, seq: f.seq, ack: f.ack})
	select {
	case <-f.inbox:
	case <-time.After(200 * time.Millisecond):
	}
	f.client.mu.Lock()
	delete(f.client.flows, f.key.client.Port())
	f.client.mu.Unlock()
}

// resetPending reports whether a reset of the system has come while no request was open.
func (f *flow) resetPending() bool {
	for {
		select {
		case p := <-f.inbox:
			if p.has(flagRst) && p.sum == 0 {
				return true
			}
		default:
			return false
		}
	}
}
