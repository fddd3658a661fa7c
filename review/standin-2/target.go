package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// targetConfig says where a target runs.
type targetConfig struct {
	id       string
	service  string
	zone     string
	app      netip.AddrPort
	outbound netip.AddrPort
	control  netip.AddrPort
	slots    int
	work     time.Duration
	// firstSequence is the number of the first heartbeat.
	firstSequence int
}

// target is a stand-in for a target: it ends flows, runs requests and sends heartbeats.
type target struct {
	config targetConfig
	rec    *record
	mu     sync.Mutex
	conn   *net.UDPConn
	health *http.Server
	born   int64
	seqNo  int
	state  string
	stop   chan struct{}
	flows  map[flowKey]*heldFlow
	up     bool
}

type flowKey struct{ client, route netip.AddrPort }

// heldFlow is a flow of which the target has the SYN.
type heldFlow struct {
	open     bool
	openedAt time.Time
	isn      uint32
	// next is the next sequence number expected from the client, and sent that of the target.
	next, sent uint32
	response   []byte
	fin        bool
}

func newTarget(c targetConfig, rec *record) *target {
	return &target{config: c, rec: rec}
}

// start starts a new incarnation.
func (t *target) start() error {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.config.app))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", t.config.app.String())
	if err != nil {
		_ = u.Close()
		return err
	}
	t.mu.Lock()
	t.conn = u
	t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth)}
	t.born = time.Now().UnixMilli()
	t.seqNo = t.config.firstSequence - 1
	t.state = "ready"
	t.stop = make(chan struct{})
	t.flows = map[flowKey]*heldFlow{}
	t.up = true
	h, stop, born := t.health, t.stop, t.born
	t.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	go t.receive(u)
	go t.beat(stop, born)
	t.rec.add("target %s (%s) starts, born %d", t.config.id, t.config.service, born)
	return nil
}

// crash ends the target without a word: it forgets its flows.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return
	}
	t.up = false
	close(t.stop)
	_ = t.conn.Close()
	_ = t.health.Close()
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// heartbeat returns the fields of the next heartbeat.
func (t *target) heartbeat() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seqNo++
	return map[string]any{
		"service":        t.config.service,
		"address":        t.config.app.String(),
		"zone":           t.config.zone,
		"version":        "v1",
		wire("slots"):    t.config.slots,
		"state":          t.state,
		wire("cold"):     0,
		wire("sequence"): t.seqNo,
		"born":           t.born,
	}
}

func (t *target) beat(stop chan struct{}, _ int64) {
	for {
		_, _ = postHeartbeat(t.config.control, t.config.id, t.heartbeat())
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// postHeartbeat sends a heartbeat and returns the status of the response.
func postHeartbeat(control netip.AddrPort, id string, fields map[string]any) (int, error) {
	b, err := json.Marshal(fields)
	if err != nil {
		return 0, err
	}
	p, err := heartbeatClient.Post(fmt.Sprintf("http://%s%s%s/heartbeat", control, wire("instances"), id), "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	_ = p.Body.Close()
	return p.StatusCode, nil
}

func (t *target) receive(u *net.UDPConn) {
	b := make([]byte, 4096)
	for {
		n, _, err := u.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		t.handle(u, append([]byte(nil), b[:n]...))
	}
}

// holds reports whether the flow is open at the present incarnation.
func (t *target) holds(k flowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[k]
	return t.up && f != nil && f.open && !f.fin
}

func (t *target) handle(u *net.UDPConn, raw []byte) {
	p, ok := decodePacket(raw)
	if !ok {
		return
	}
	if !intact(raw) {
		t.rec.add("target %s got a packet that its sender did not write so", t.config.id)
		return
	}
	k := flowKey{netip.AddrPortFrom(p.src, p.sport), netip.AddrPortFrom(p.dst, p.dport)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return
	}
	f := t.flows[k]
	if p.has(flagSyn) && !p.has(flagAck) {
		t.accept(u, k, f, p)
		return
	}
	if f != nil && !f.open && p.has(flagAck) && p.ack == f.isn+1 {
		f.open = true
		f.openedAt = time.Now()
		t.rec.opened(t, k, p)
	}
	if f == nil || !f.open {
		// A packet of a flow that is not held here goes back.
		t.rec.misplaced(t, k, p)
		raw[0] |= flagBounced
		raw[1] = 0
		_, _ = u.WriteToUDPAddrPort(raw, t.config.outbound)
		return
	}
	t.rec.reached(t, k, p)
	switch {
	case p.has(flagRst):
		delete(t.flows, k)
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		id := requestID(p.data)
		t.rec.runs(t, k, id)
		time.AfterFunc(t.config.work, func() { t.answer(u, k, f, id) })
	case len(p.data) > 0 && f.response != nil:
		t.send(u, k, packet{flags: flagAck, seq: f.sent - uint32(len(f.response)), ack: f.next, data: f.response})
	case len(p.data) > 0:
		t.send(u, k, packet{flags: flagAck, seq: f.sent, ack: f.next})
	case p.has(flagFin):
		f.fin = true
		t.send(u, k, packet{flags: flagFin | flagAck, seq: f.sent, ack: f.next + 1})
	}
}

// accept answers the first packet of a flow. The lock must be held.
func (t *target) accept(u *net.UDPConn, k flowKey, f *heldFlow, p packet) {
	if f == nil || f.open && f.next != p.seq+1 {
		isn := rand.Uint32()
		f = &heldFlow{isn: isn, next: p.seq + 1, sent: isn + 1}
		t.flows[k] = f
		t.rec.took(t, k, p)
	}
	t.send(u, k, packet{flags: flagSyn | flagAck, seq: f.isn, ack: p.seq + 1})
}

// answer sends the response to a request.
func (t *target) answer(u *net.UDPConn, k flowKey, f *heldFlow, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != u || !t.up {
		return
	}
	f.response = []byte("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + t.config.id + "/" + id + "\r\nContent-Length: 2\r\n\r\nok")
	t.send(u, k, packet{flags: flagAck, seq: f.sent, ack: f.next, data: f.response})
	f.sent += uint32(len(f.response))
}

// send sends a packet of the target to the client of a flow, through its node.
func (t *target) send(u *net.UDPConn, k flowKey, p packet) {
	p.src, p.sport = k.route.Addr(), k.route.Port()
	p.dst, p.dport = k.client.Addr(), k.client.Port()
	_, _ = u.WriteToUDPAddrPort(p.encode(), t.config.outbound)
}

func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}
