package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 30 * time.Millisecond
	// maxRepeats is the number of retransmissions after which a target gives up.
	maxRepeats     = 8
	firstRepeat    = 200 * time.Millisecond
	longestRepeat  = 1600 * time.Millisecond
	endedRetention = 20 * time.Second
)

// target is a stand-in for a target beside a side machine. It answers a request of one
// packet with one packet.
type target struct {
	machine *machine
	id      string
	born    int64
	conn    *net.UDPConn
	http    *http.Server
	mu      sync.Mutex
	seq     int
	// half has the flows that are not open yet, and open the open ones, by the
	// target's own first sequence number.
	half    map[flow]uint32
	open    map[flow]uint32
	ended   map[flow]time.Time
	nextSeq map[flow]uint32
	// answers has the latest answer of each flow, for a request that is sent again.
	answers map[flow]*answered
	stopped atomic.Bool
	done    chan struct{}
}

// answered is a request that has run, and its answer.
type answered struct {
	seq, answerSeq, ack uint32
	data                []byte
	done                bool
}

// startTarget starts a target with a new incarnation.
func startTarget(m *machine) *target {
	app := fmt.Sprintf("%s:%d", m.IP, m.Ports.App)
	a, err := net.ResolveUDPAddr("udp4", app)
	check(err)
	c, err := net.ListenUDP("udp4", a)
	check(err)
	l, err := net.Listen("tcp4", app)
	check(err)
	born := time.Now().UnixMilli()
	t := &target{
		machine: m,
		id:      fmt.Sprintf("i-%d-%s", born, m.Name),
		born:    born,
		conn:    c,
		http: &http.Server{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		},
		half:    map[flow]uint32{},
		open:    map[flow]uint32{},
		ended:   map[flow]time.Time{},
		nextSeq: map[flow]uint32{},
		answers: map[flow]*answered{},
		done:    make(chan struct{}),
	}
	go func() { _ = t.http.Serve(l) }()
	go t.serve()
	go t.sendHeartbeats()
	logf("target %s starts on %s", t.id, m.Name)
	return t
}

// crash ends the target at once. It says nothing, and its flows are gone.
func (t *target) crash() {
	t.mu.Lock()
	t.stopped.Store(true)
	n := len(t.open)
	t.mu.Unlock()
	close(t.done)
	_ = t.http.Close()
	_ = t.conn.Close()
	logf("target %s crashes with %d open flows", t.id, n)
}

func (t *target) holds(f flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.open[f]
	return ok && !t.stopped.Load()
}

func (t *target) openFlows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

func (t *target) sendHeartbeats() {
	for {
		t.heartbeat(t.id, t.born)
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

var calls = &http.Client{
	Timeout: time.Second,
}

// heartbeat sends one heartbeat under an id, without the field of the start if born is
// zero. It returns the status, or zero.
func (t *target) heartbeat(id string, born int64) int {
	t.mu.Lock()
	t.seq++
	b := render("heartbeat.json", map[string]any{
		"Service":  t.machine.Service,
		"Address":  fmt.Sprintf("%s:%d", t.machine.IP, t.machine.Ports.App),
		"Zone":     t.machine.Zone,
		"State":    "ready",
		"Cold":     0,
		"Sequence": t.seq,
		"Born":     born,
	})
	t.mu.Unlock()
	u := fmt.Sprintf("http://%s:%d%s%s/heartbeat", t.machine.IP, t.machine.Ports.Control, names["instances"], id)
	p, err := calls.Post(u, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_ = p.Body.Close()
	return p.StatusCode
}

func (t *target) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		t.handle(append([]byte(nil), b[:n]...))
	}
}

func (t *target) handle(b []byte) {
	p, ok := decode(b)
	if !ok {
		return
	}
	f := flow{
		client: p.src,
		port:   p.sport,
		host:   p.dst,
		hport:  p.dport,
	}
	judge.arrived(t, f, p, keyedSum(b) == p.sum)
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.flags&(flagSyn|flagAck|flagRst|flagFin) == flagSyn {
		t.accept(f, p)
		return
	}
	if s, ok := t.half[f]; ok && p.flags&flagAck != 0 && p.ack == s+1 {
		delete(t.half, f)
		t.open[f] = s
		t.nextSeq[f] = s + 1
		judge.opened(t, f)
	}
	if _, ok := t.open[f]; !ok {
		t.notHeld(f, p, b)
		return
	}
	switch {
	case p.flags&flagRst != 0:
		t.end(f)
	case p.flags&flagFin != 0:
		t.send(f, flagFin|flagAck, t.nextSeq[f], p.seq+1, nil)
		t.end(f)
	case len(p.data) > 0:
		t.run(f, p)
	}
}

// run runs a request and answers it. One that comes again gets the same answer.
func (t *target) run(f flow, p packet) {
	if a := t.answers[f]; a != nil && a.seq == p.seq {
		if a.done {
			t.send(f, flagAck, a.answerSeq, a.ack, a.data)
		}
		return
	}
	judge.ran(t, string(p.data))
	a := &answered{
		seq:       p.seq,
		answerSeq: t.nextSeq[f],
		ack:       p.seq + uint32(len(p.data)),
		data:      p.data,
	}
	t.answers[f] = a
	t.nextSeq[f] += uint32(len(p.data))
	time.AfterFunc(workTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.stopped.Load() {
			a.done = true
			t.send(f, flagAck, a.answerSeq, a.ack, a.data)
		}
	})
}

// accept answers a first packet, and repeats the answer until the flow is open.
func (t *target) accept(f flow, p packet) {
	if _, ok := t.open[f]; ok {
		return
	}
	s, ok := t.half[f]
	if !ok {
		s = rand.Uint32()
		t.half[f] = s
		go t.repeatAccept(f, s, p.seq+1)
	}
	t.send(f, flagSyn|flagAck, s, p.seq+1, nil)
}

func (t *target) repeatAccept(f flow, s, ack uint32) {
	delay := firstRepeat
	for range maxRepeats {
		time.Sleep(delay)
		delay = min(2*delay, longestRepeat)
		t.mu.Lock()
		x, ok := t.half[f]
		if !ok || x != s || t.stopped.Load() {
			t.mu.Unlock()
			return
		}
		t.send(f, flagSyn|flagAck, s, ack, nil)
		t.mu.Unlock()
	}
	t.mu.Lock()
	if t.half[f] == s {
		delete(t.half, f)
	}
	t.mu.Unlock()
}

// notHeld returns a packet of a flow that the target does not hold. On a flow that has
// ended, it answers. A packet of a flow whose handshake is under way here with another
// acknowledgement is dropped.
func (t *target) notHeld(f flow, p packet, b []byte) {
	if at, ok := t.ended[f]; ok && time.Since(at) < endedRetention {
		switch {
		case p.flags&flagFin != 0:
			t.send(f, flagAck, t.nextSeq[f], p.seq+1, nil)
		case len(p.data) > 0:
			t.send(f, flagRst, t.nextSeq[f], 0, nil)
		}
		return
	}
	if _, ok := t.half[f]; ok {
		return
	}
	b[0] |= flagBounced
	b[1] = 0
	t.toAgent(b)
}

func (t *target) end(f flow) {
	delete(t.open, f)
	t.ended[f] = time.Now()
}

func (t *target) send(f flow, flags byte, seq, ack uint32, data []byte) {
	t.toAgent(packet{
		flags: flags,
		seq:   seq,
		ack:   ack,
		src:   f.host,
		sport: f.hport,
		dst:   f.client,
		dport: f.port,
		data:  data,
	}.encode())
}

func (t *target) toAgent(b []byte) {
	_, _ = t.conn.WriteToUDP(b, t.machine.udp(t.machine.Ports.Outbound))
}
