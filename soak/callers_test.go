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
	callerHosts = 4
	// flowsPerAgent is the number of open flows for each agent of the region.
	flowsPerAgent = 8
	requestPause  = 250 * time.Millisecond
	// maxPause bounds the long pauses between requests, which end pauseMargin before the
	// idle timeout.
	maxPause    = 9 * time.Second
	pauseMargin = time.Second
	// retransmitMin and retransmitMax bound the time until a request is retransmitted.
	retransmitMin = 200 * time.Millisecond
	retransmitMax = 1600 * time.Millisecond
	// openTimeout is the time after which a caller gives up a flow that has not opened.
	openTimeout = 1400 * time.Millisecond
	requestSize = 60
)

// callerFlow is the state of one flow at its caller.
type callerFlow struct {
	tuple           flow.Tuple
	initialSequence uint32
	// ack is the acknowledgement number for the backend server's SYN-ACK; 0 until that
	// arrives.
	ack    uint32
	opened time.Time
	// lastSent is when the latest packet was sent, and retransmitAfter the time after
	// which an unanswered request is sent again.
	lastSent        time.Time
	retransmitAfter time.Duration
	synRetries      int
	answers         int
	// waiting is set until the current request is answered.
	waiting  bool
	requests int
	closeAt  time.Time
	// balancer is the number of the balancer to which the latest packet was sent.
	balancer int
	server   *backend
	// pause is the time until the next request, and paused the time for which no packet had
	// been sent before the latest request.
	pause, paused time.Duration
	// misroutedSince counts the packets that reached other backend servers, while all
	// instances concerned were undisturbed, since one last reached its own, and
	// misroutedAt is when the first of them did.
	misroutedSince int
	misroutedAt    time.Time
	// misrouted holds the times of recent packets that reached another backend server.
	misrouted []time.Time
	ended     bool
	// request has the progress of the current request in load-aware seeds.
	request request
	// burst is the burst that the flow belongs to, if any.
	burst *loadBurst
	// path lists where the flow's packets arrived, for reports of violations.
	path []string
}

func (f *callerFlow) service() string {
	if f.tuple.Address == firstServiceAddress {
		return boards
	}
	return layouts
}

// callers opens flows, and retransmits SYNs and requests that are not answered.
type callers struct {
	region   *region
	verifier *verifier
	rand     *rand.Rand
	conns    []*net.UDPConn
	nextPort uint16
	done     chan struct{}
	// longPauses is set if some flows pause for seconds.
	longPauses bool
	// settling is set once tick must no longer open or close flows.
	settling bool
}

func newCallers(r *region, seed uint64) (*callers, error) {
	c := &callers{
		region:   r,
		verifier: r.verifier,
		rand:     rand.New(rand.NewPCG(seed, 13)),
		nextPort: 20_000,
		done:     make(chan struct{}),

		longPauses: seed >= firstSeriesSeed,
	}
	for i := range callerHosts {
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.proxy.address(9, i+1, packetPort)))
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
			c.receive(from, b[:n])
		}
	}
}

// receive handles a packet that arrived at a caller's socket.
func (c *callers) receive(from netip.AddrPort, b []byte) {
	s := usersbackend.Decode(b)
	c.verifier.mu.Lock()
	defer c.verifier.mu.Unlock()
	f := c.verifier.flows[s.Tuple]
	if f == nil {
		c.verifier.addViolationLocked("a caller received a packet of an unknown flow: %s", s.Tuple)
		return
	}
	if f.ended {
		return
	}
	c.verifier.checkAnswer(f, s, b)
	switch {
	case s.Has(segment.Rst):
		c.verifier.checkReset(f, instanceOf(from))
	case s.SynAck():
		if f.ack == 0 {
			f.ack = s.Sequence + 1
			c.request(f)
		}
	case s.Has(segment.Fin):
		f.ended = true
	case s.Length > 0 && c.region.loadAware && !f.answered(s):
	case s.Length > 0:
		f.waiting = false
		f.retransmitAfter = retransmitMin
	}
}

// open starts a flow that its caller closes after the given lifetime. The verifier's
// lock must be held.
func (c *callers) open(serviceIndex, port int, lifetime time.Duration) *callerFlow {
	c.nextPort++
	host := int(c.nextPort) % callerHosts
	ip, _ := flow.Address(c.region.proxy.address(9, host+1, 0).Addr())
	f := &callerFlow{
		tuple: flow.Tuple{
			Caller:      ip,
			CallerPort:  c.nextPort,
			Address:     uint32(firstServiceAddress + serviceIndex),
			AddressPort: uint16(port),
		},
		initialSequence: c.rand.Uint32(),
		opened:          time.Now(),
		closeAt:         time.Now().Add(lifetime),
		retransmitAfter: retransmitMin,
	}
	c.verifier.flows[f.tuple] = f
	c.send(f, segment.Syn, 0)
	return f
}

func (c *callers) send(f *callerFlow, flags segment.Flags, length uint16) {
	f.lastSent = time.Now()
	i, to := c.region.router.Pick(f.tuple)
	f.balancer = i + 1
	s := segment.Segment{
		Tuple:    f.tuple,
		Flags:    flags,
		Sequence: f.initialSequence,
		Ack:      f.ack,
		Length:   length,
	}
	if flags != segment.Syn {
		s.Sequence = f.initialSequence + 1 + f.request.offset
	}
	host := int(f.tuple.CallerPort) % callerHosts
	_, _ = c.conns[host].WriteToUDPAddrPort(usersbackend.Encode(s, false), to)
}

func (c *callers) request(f *callerFlow) {
	if !f.waiting {
		f.waiting = true
		f.requests++
		f.paused = time.Since(f.lastSent)
		f.pause = c.nextPause()
		f.newRequest()
	}
	f.request.sentAt = append(f.request.sentAt, time.Now())
	c.send(f, segment.Ack, requestSize)
	if len(f.request.sentAt) == 1 {
		f.request.balancer = f.balancer
	}
}

// nextPause returns the time from one request of a flow to the next. In series, half of the
// pauses last for seconds, but for less than the idle timeout.
func (c *callers) nextPause() time.Duration {
	if !c.longPauses || c.settling || c.rand.IntN(2) == 0 {
		return requestPause
	}
	longest := min(maxPause, c.verifier.idleTimeout()-pauseMargin)
	return time.Second + time.Duration(c.rand.Int64N(int64(longest-time.Second)))
}

// tick advances all flows that have not ended, and opens new ones up to flowsPerAgent for each agent
// unless settling is set. The verifier's lock must be held.
func (c *callers) tick(now time.Time) {
	active := 0
	for _, f := range c.verifier.flows {
		if f.ended {
			continue
		}
		active++
		c.advance(f, now)
	}
	perAgent := flowsPerAgent
	if c.region.loadAware {
		perAgent = loadFlowsPerAgent
	}
	ports := c.region.callerPorts()
	for ; active < perAgent**agentCount && !c.settling; active++ {
		c.open(c.rand.IntN(2), ports[active%len(ports)], c.lifetime())
	}
}

// lifetime returns a random lifetime: below 2 s for a third of the flows, 1 min for the
// others.
func (c *callers) lifetime() time.Duration {
	if c.rand.IntN(3) == 0 {
		return time.Duration(c.rand.IntN(2000)) * time.Millisecond
	}
	return time.Minute
}

func (c *callers) advance(f *callerFlow, now time.Time) {
	idle := now.Sub(f.lastSent)
	switch {
	case f.ack == 0 && now.Sub(f.opened) > openTimeout:
		f.ended = true
	case f.ack == 0 && f.synRetries < 2 && now.Sub(f.opened) > [...]time.Duration{200, 600}[f.synRetries]*time.Millisecond:
		f.synRetries++
		c.send(f, segment.Syn, 0)
	case f.ack == 0:
	case f.waiting && idle > f.retransmitAfter:
		f.retransmitAfter = min(2*f.retransmitAfter, retransmitMax)
		c.request(f)
	case !f.waiting && now.After(f.closeAt) && !c.settling:
		c.send(f, segment.Fin|segment.Ack, 0)
		f.ended = true
	case !f.waiting && idle > f.pause:
		c.request(f)
	}
}

// run advances the flows until done is closed.
func (c *callers) run() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			c.verifier.mu.Lock()
			c.tick(now)
			c.verifier.mu.Unlock()
		}
	}
}
