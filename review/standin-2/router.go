package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is a stand-in for the platform's routers: it forwards the packets of clients to the
// front nodes of their zone, by a hash over those in rotation.
type router struct {
	mu    sync.Mutex
	conn  *net.UDPConn
	nodes []*routed
	stop  chan struct{}
}

type routed struct {
	name, zone string
	packets    netip.AddrPort
	ready      string
	misses     int
	inRotation bool
}

func newRouter(nodes []*routed) (*router, error) {
	u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &router{conn: u, nodes: nodes, stop: make(chan struct{})}
	for _, n := range nodes {
		go r.poll(n)
	}
	return r, nil
}

// poll asks a node twice a second whether it is ready. After two misses it is out of rotation.
func (r *router) poll(n *routed) {
	c := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		p, err := c.Get("http://" + n.ready + wire("readiness"))
		ok := err == nil && p.StatusCode == http.StatusOK
		if err == nil {
			_ = p.Body.Close()
		}
		r.mu.Lock()
		if ok {
			n.misses = 0
			n.inRotation = true
		} else if n.misses++; n.misses >= 2 {
			n.inRotation = false
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// ready returns the number of nodes in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.nodes {
		if x.inRotation {
			n++
		}
	}
	return n
}

// choose returns the node that gets a packet: one in rotation, all of the zone if fewer than
// half are in rotation, and those of other zones if none is.
func (r *router) choose(zone string, p packet) *routed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, others []*routed
	for _, n := range r.nodes {
		switch {
		case n.zone == zone:
			all = append(all, n)
			if n.inRotation {
				in = append(in, n)
			}
		case n.inRotation:
			others = append(others, n)
		}
	}
	l := in
	switch {
	case len(in) == 0 && len(others) > 0:
		l = others
	case 2*len(in) < len(all):
		l = all
	}
	if len(l) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write(p.encode()[14:26])
	return l[h.Sum32()%uint32(len(l))]
}

func (r *router) forward(zone string, p packet) {
	if n := r.choose(zone, p); n != nil {
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), n.packets)
	}
}
