package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 5 * time.Second
	routePort      = 443
)

// routeHost is the route's address.
var routeHost = address("198.18.0.1")

func address(s string) uint32 {
	a := net.ParseIP(s).To4()
	return uint32(a[0])<<24 | uint32(a[1])<<16 | uint32(a[2])<<8 | uint32(a[3])
}

// router is a stand-in for the platform's routers in one zone. It hashes flows by mod
// over the nodes in rotation.
type router struct {
	mu     sync.Mutex
	nodes  []*machine
	misses map[*machine]int
}

func startRouter(nodes []*machine) *router {
	r := &router{
		nodes:  nodes,
		misses: map[*machine]int{},
	}
	for _, n := range nodes {
		r.misses[n] = 2
		go r.check(n)
	}
	return r
}

var readinessChecks = &http.Client{
	Timeout: 400 * time.Millisecond,
}

// check asks a node twice a second whether it is ready. Two misses take it out of
// rotation.
func (r *router) check(n *machine) {
	for {
		p, err := readinessChecks.Get(fmt.Sprintf("http://%s:%d%s", n.IP, n.Ports.Ready, names["readiness"]))
		ready := err == nil && p.StatusCode == http.StatusOK
		if err == nil {
			_ = p.Body.Close()
		}
		r.mu.Lock()
		before := r.misses[n] < 2
		if ready {
			r.misses[n] = 0
		} else {
			r.misses[n]++
		}
		if after := r.misses[n] < 2; after != before {
			logf("router: %s in rotation: %t", n.Name, after)
		}
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// inRotation returns the nodes in rotation, or all nodes if fewer than half are.
func (r *router) inRotation() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []*machine
	for _, n := range r.nodes {
		if r.misses[n] < 2 {
			l = append(l, n)
		}
	}
	if 2*len(l) < len(r.nodes) {
		return r.nodes
	}
	return l
}

func (r *router) pick(f flow) *machine {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, f)
	l := r.inRotation()
	return l[h.Sum64()%uint64(len(l))]
}

// client is a stand-in for a client with many flows.
type client struct {
	ip    string
	conn  *net.UDPConn
	route *router
	mu    sync.Mutex
	flows map[uint16]*clientFlow
	next  uint16
	count int
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	client   *client
	flow     flow
	seq, ack uint32
	open     bool
	over     bool
	// lose, if not nil, tells which packets are lost on their way to the client.
	lose     func(packet) bool
	accepted chan struct{}
	answers  chan string
	resets   chan struct{}
}

func startClient(ip string, port int, r *router) *client {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP:   net.ParseIP(ip),
		Port: port,
	})
	check(err)
	c := &client{
		ip:    ip,
		conn:  conn,
		route: r,
		flows: map[uint16]*clientFlow{},
		next:  1024,
	}
	go c.receive()
	return c
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, ok := decode(append([]byte(nil), b[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		if f := c.flows[p.dport]; f != nil {
			f.handle(p)
		}
		c.mu.Unlock()
	}
}

// handle handles one packet for the flow. The client's lock is held.
func (f *clientFlow) handle(p packet) {
	switch {
	case f.lose != nil && f.lose(p):
		logf("client: a datagram of flow %s is lost on its way to the client", f.flow)
	case f.over:
	case p.flags&flagRst != 0:
		d := p.seq - f.ack
		if f.open && p.sum == 0 && d > 76800 && -d > 76800 {
			return
		}
		f.over = true
		judge.reset(f.flow, f.open, p.sum == 0)
		close(f.resets)
	case p.flags&(flagSyn|flagAck) == flagSyn|flagAck:
		if !f.open {
			f.open = true
			f.ack = p.seq + 1
			f.seq = p.ack
			f.send(flagAck, nil)
			close(f.accepted)
		}
	case len(p.data) > 0:
		if p.seq == f.ack {
			f.ack += uint32(len(p.data))
			f.answers <- string(p.data)
		}
		f.send(flagAck, nil)
	}
}

func (f *clientFlow) send(flags byte, data []byte) {
	b := packet{
		flags: flags,
		seq:   f.seq,
		ack:   f.ack,
		src:   f.flow.client,
		sport: f.flow.port,
		dst:   f.flow.host,
		dport: f.flow.hport,
		data:  data,
	}.encode()
	n := f.client.route.pick(f.flow)
	_, _ = f.client.conn.WriteToUDP(b, n.udp(n.Ports.Packets))
}

// openFlow opens a flow and returns nil if the attempt ends. lose, if not nil, tells which
// packets are lost on their way to the client.
func (c *client) openFlow(lose func(packet) bool) *clientFlow {
	c.mu.Lock()
	c.next++
	f := &clientFlow{
		client: c,
		flow: flow{
			client: address(c.ip),
			port:   c.next,
			host:   routeHost,
			hport:  routePort,
		},
		lose:     lose,
		seq:      rand.Uint32(),
		accepted: make(chan struct{}),
		answers:  make(chan string, 16),
		resets:   make(chan struct{}),
	}
	c.flows[f.flow.port] = f
	c.mu.Unlock()
	end := time.After(openTimeout)
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		c.mu.Lock()
		if !f.open {
			f.ack = uint32(i)
			f.send(flagSyn, nil)
		}
		c.mu.Unlock()
		select {
		case <-f.accepted:
			return f
		case <-f.resets:
			return nil
		case <-time.After(wait):
		case <-end:
		}
	}
	c.mu.Lock()
	f.over = true
	c.mu.Unlock()
	return nil
}

// request sends one request and reports whether it was answered.
func (f *clientFlow) request() bool {
	c := f.client
	c.mu.Lock()
	if f.over {
		c.mu.Unlock()
		return false
	}
	c.count++
	id := fmt.Sprintf("r-%d", c.count)
	c.mu.Unlock()
	judge.sent(f.flow, id)
	end := time.After(requestTimeout)
	delay := firstRepeat
	for {
		c.mu.Lock()
		f.send(flagAck, []byte(id))
		c.mu.Unlock()
		select {
		case a := <-f.answers:
			c.mu.Lock()
			f.seq += uint32(len(id))
			c.mu.Unlock()
			judge.answered(f.flow, id, a)
			return true
		case <-f.resets:
			logf("client: request %s on flow %s ends with a reset", id, f.flow)
			return false
		case <-end:
			c.mu.Lock()
			f.over = true
			c.mu.Unlock()
			logf("client: request %s on flow %s gets no answer", id, f.flow)
			return false
		case <-time.After(delay):
			delay = min(2*delay, longestRepeat)
		}
	}
}
