package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/segment"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
)

const (
	callerHosts  = 4
	livingFlows  = 40
	requestPause = 250 * time.Millisecond
	// repeatMin and repeatMax bound the time until a packet is sent again.
	repeatMin = 200 * time.Millisecond
	repeatMax = 1600 * time.Millisecond
	// openTimeout is when a caller gives a flow up that has not opened.
	openTimeout = 1400 * time.Millisecond
	requestSize = 60
)

// caller is one flow from its caller's side.
type caller struct {
	tuple flow.Tuple
	first uint32
	// ack is the acknowledgement of the backend server's acceptance.
	ack    uint32
	opened time.Time
	// sent is the latest packet, and repeat the time until it is sent again.
	sent   time.Time
	repeat time.Duration
	copies int
	served int
	// waiting is set until the present request is answered.
	waiting bool
	asked   int
	until   time.Time
	via     int
	server  *backend
	away    []time.Time
	ended   bool
	path    []string
}

func (c *caller) service() string {
	if c.tuple.Address == firstAddress {
		return boards
	}
	return layouts
}

// callers opens flows and repeats what is not answered.
type callers struct {
	region *region
	judge  *judge
	rand   *rand.Rand
	conns  []*net.UDPConn
	next   uint16
	done   chan struct{}
	// settling is set while no flow is to be opened or closed.
	settling bool
}

func newCallers(r *region, seed uint64) (*callers, error) {
	c := &callers{
		region: r,
		judge:  r.judge,
		rand:   rand.New(rand.NewPCG(seed, 13)),
		next:   20_000,
		done:   make(chan struct{}),
	}
	for i := range callerHosts {
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.wire.at(9, i+1, packetPort)))
		if err != nil {
			return nil, err
		}
		c.conns = append(c.conns, u)
		go c.read(u)
	}
	return c, nil
}

func (c *callers) close() {
	for _, u := range c.conns {
		_ = u.Close()
	}
}

func (c *callers) read(u *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := u.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n >= 32 {
			c.take(from, b[:n])
		}
	}
}

// take is a packet for a caller.
func (c *callers) take(from netip.AddrPort, b []byte) {
	s := usersbackend.Decode(b)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	f := c.judge.flows[s.Tuple]
	if f == nil {
		c.judge.broken("a packet of no flow reached a caller: %s", s.Tuple)
		return
	}
	if f.ended {
		return
	}
	c.judge.answered(f, s, b)
	switch {
	case s.Has(segment.Rst):
		c.judge.reset(f, instanceOf(from))
	case s.SynAck():
		if f.ack == 0 {
			f.ack = s.Sequence + 1
			c.request(f)
		}
	case s.Has(segment.Fin):
		f.ended = true
	case s.Length > 0:
		f.waiting = false
		f.repeat = repeatMin
	}
}

// open starts a flow. The lock of the judge is held.
func (c *callers) open(address, port int, life time.Duration) *caller {
	c.next++
	host := int(c.next) % callerHosts
	ip, _ := flow.Address(c.region.wire.at(9, host+1, 0).Addr())
	f := &caller{
		tuple: flow.Tuple{
			Caller:      ip,
			CallerPort:  c.next,
			Address:     uint32(firstAddress + address),
			AddressPort: uint16(port),
		},
		first:  c.rand.Uint32(),
		opened: time.Now(),
		until:  time.Now().Add(life),
		repeat: repeatMin,
	}
	c.judge.flows[f.tuple] = f
	c.send(f, segment.Syn, 0)
	return f
}

func (c *callers) send(f *caller, flags segment.Flags, length uint16) {
	f.sent = time.Now()
	i, to := c.region.router.Pick(f.tuple)
	f.via = i + 1
	s := segment.Segment{
		Tuple:    f.tuple,
		Flags:    flags,
		Sequence: f.first,
		Ack:      f.ack,
		Length:   length,
	}
	if flags != segment.Syn {
		s.Sequence = f.first + 1
	}
	host := int(f.tuple.CallerPort) % callerHosts
	_, _ = c.conns[host].WriteToUDPAddrPort(usersbackend.Encode(s, false), to)
}

func (c *callers) request(f *caller) {
	if !f.waiting {
		f.waiting = true
		f.asked++
	}
	c.send(f, segment.Ack, requestSize)
}

// tick does what is due. The lock of the judge is held.
func (c *callers) tick(now time.Time) {
	living := 0
	for _, f := range c.judge.flows {
		if f.ended {
			continue
		}
		living++
		c.drive(f, now)
	}
	for ; living < livingFlows && !c.settling; living++ {
		c.open(c.rand.IntN(2), 443, c.life())
	}
}

// life is long for most flows.
func (c *callers) life() time.Duration {
	if c.rand.IntN(3) == 0 {
		return time.Duration(c.rand.IntN(2000)) * time.Millisecond
	}
	return time.Minute
}

func (c *callers) drive(f *caller, now time.Time) {
	idle := now.Sub(f.sent)
	switch {
	case f.ack == 0 && now.Sub(f.opened) > openTimeout:
		f.ended = true
	case f.ack == 0 && f.copies < 2 && now.Sub(f.opened) > [...]time.Duration{200, 600}[f.copies]*time.Millisecond:
		f.copies++
		c.send(f, segment.Syn, 0)
	case f.ack == 0:
	case f.waiting && idle > f.repeat:
		f.repeat = min(2*f.repeat, repeatMax)
		c.request(f)
	case !f.waiting && now.After(f.until) && !c.settling:
		c.send(f, segment.Fin|segment.Ack, 0)
		f.ended = true
	case !f.waiting && idle > requestPause:
		c.request(f)
	}
}

// run drives the flows until the end.
func (c *callers) run() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			c.judge.mu.Lock()
			c.tick(now)
			c.judge.mu.Unlock()
		}
	}
}
