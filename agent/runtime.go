package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/lentilshed/lentilshed/target"
	"github.com/lentilshed/lentilshed/tcpstack"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const (
	packetQueueSize   = 4096
	eventQueueSize    = 1024
	tickInterval      = 50 * time.Millisecond
	socketBufferSize  = 4 << 20
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// RuntimeConfig configures a Runtime.
type RuntimeConfig struct {
	Config         Config
	Region         string
	PacketAddress  string
	ControlAddress string
	// Balancers are the control addresses of the balancers known at start.
	Balancers []string
	// FabricAddress is where packets to callers are sent.
	FabricAddress netip.AddrPort
	// BackendAddress is the backend server's TCP address.
	BackendAddress string
	// LoadURL is the URL of the backend server's load report; empty for none.
	LoadURL string
	// KeepAliveIdle is the silence after which a caller is probed; 10 s if zero.
	KeepAliveIdle time.Duration
	Log           *log.Logger
	Scope         tally.Scope
	Tracer        *telemetry.Tracer
	// Send replaces the write of a packet; nil writes to the socket.
	Send func(s *net.UDPConn, b []byte, to netip.AddrPort) error
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
}

// Runtime performs the effects of a Model. One goroutine owns the model; one
// reads packets; the TCP stack, the peers and the backend server have their
// own. Two bounded queues connect them with the model: packets are dropped when
// theirs is full, so that control messages never wait behind packets.
type Runtime struct {
	config     RuntimeConfig
	model      *Model
	replica    *Replica
	selector   *balancerSelector
	packets    chan PacketMsg
	events     chan Msg
	stop       chan struct{}
	stopOnce   sync.Once
	wait       sync.WaitGroup
	socket     *net.UDPConn
	stack      *tcpstack.Stack
	server     *control.Server
	peers      *control.Dialer
	uplink     *control.Dialer
	uplinkConn *control.Conn
	dialed     map[target.ID]*control.Conn
	inbound    map[target.ID]*control.Conn
	flows      *flowTable
	// followUps holds messages that result from performing effects.
	followUps   []Msg
	bytes       control.ByteCounts
	codec       *packet.Codec
	outMu       sync.Mutex
	outCodec    *packet.Codec
	drops       [packet.ReasonCount]tally.Counter
	state       atomic.Pointer[State]
	leaving     bool
	gone        bool
	announced   announcement
	requestedAt time.Time
}

// NewRuntime opens the sockets and starts all goroutines.
func NewRuntime(c RuntimeConfig) (*Runtime, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Send == nil {
		c.Send = writePacket
	}
	if c.KeepAliveIdle == 0 {
		c.KeepAliveIdle = keepAliveIdle
	}
	r := &Runtime{
		config:   c,
		model:    NewModel(c.Config, c.Now()),
		replica:  NewReplica(c.Config, c.Region),
		selector: newBalancerSelector(string(c.Config.Self), c.Balancers),
		packets:  make(chan PacketMsg, packetQueueSize),
		events:   make(chan Msg, eventQueueSize),
		stop:     make(chan struct{}),
		dialed:   map[target.ID]*control.Conn{},
		inbound:  map[target.ID]*control.Conn{},
		flows:    newFlowTable(),
		codec:    packet.NewCodec(),
		outCodec: packet.NewCodec(),
	}
	for i := range r.drops {
		r.drops[i] = c.Scope.Tagged(map[string]string{"reason": packet.Reason(i).String()}).Counter("packets_dropped")
	}
	r.state.Store(&State{})
	if err := r.open(); err != nil {
		return nil, err
	}
	r.start()
	return r, nil
}

// Leave stops taking new flows and waits until the open ones have ended and the
// target no longer takes part in its service, or the context is done. It
// returns the number of flows that are left.
func (r *Runtime) Leave(ctx context.Context) int {
	r.post(leaveMsg{})
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		n := int(r.State().Active)
		if n == 0 && r.notJoined() {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-t.C:
		}
	}
}

// Close announces that this target is gone and stops the runtime. Flows that
// are still open are cut off; their callers get no reset.
func (r *Runtime) Close() {
	r.post(goneMsg{})
	time.Sleep(2 * tickInterval)
	r.Kill()
}

// Kill stops the runtime without notice to the other instances.
func (r *Runtime) Kill() {
	r.stopOnce.Do(func() {
		close(r.stop)
		_ = r.socket.Close()
		r.uplink.Close()
		r.peers.Close()
		r.server.Close()
		r.stack.Close()
		r.wait.Wait()
	})
}

func (r *Runtime) open() error {
	a, err := netip.ParseAddrPort(r.config.PacketAddress)
	if err != nil {
		return errors.Wrap(err, "parse packet address")
	}
	r.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return errors.Wrap(err, "listen for packets")
	}
	_ = r.socket.SetReadBuffer(socketBufferSize)
	r.stack, err = tcpstack.New(tcpstack.Config{
		Output:            r.output,
		Accept:            r.accept,
		KeepAliveIdle:     r.config.KeepAliveIdle,
		KeepAliveInterval: keepAliveInterval,
		KeepAliveCount:    keepAliveCount,
	})
	if err != nil {
		_ = r.socket.Close()
		return err
	}
	r.server, err = control.Listen(r.config.ControlAddress, r.peerHandler(false))
	if err != nil {
		_ = r.socket.Close()
		r.stack.Close()
		return err
	}
	r.config.PacketAddress = r.socket.LocalAddr().String()
	r.config.ControlAddress = r.server.Address()
	r.peers = control.NewDialer(r.peerHandler(true))
	r.uplink = control.NewDialer(r.uplinkHandler())
	return nil
}

func (r *Runtime) start() {
	r.wait.Add(2)
	go r.run()
	go r.readPackets()
	if r.config.LoadURL == "" {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.wait.Add(2)
	go func() {
		defer r.wait.Done()
		<-r.stop
		cancel()
	}()
	go func() {
		defer r.wait.Done()
		pollLoad(ctx, r.config.LoadURL, func(x float64) {
			r.post(BackendLoadMsg{
				Load: x,
			})
		})
	}()
}

// post queues a message for the model; it waits while the queue is full.
func (r *Runtime) post(m Msg) {
	select {
	case r.events <- m:
	case <-r.stop:
	}
}

// postLatency queues the latency of an answer unless the queue is full.
func (r *Runtime) postLatency(d time.Duration) {
	select {
	case r.events <- LatencyMsg{
		Latency: d,
	}:
	default:
	}
}

// run owns the model. It handles events before packets.
func (r *Runtime) run() {
	defer r.wait.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case m := <-r.events:
			r.handleEvent(m)
			continue
		default:
		}
		select {
		case <-r.stop:
			return
		case m := <-r.events:
			r.handleEvent(m)
		case p := <-r.packets:
			r.update(p)
		case <-t.C:
			r.tick()
		}
	}
}

// update passes a message to the model, then at once the messages that result
// from its effects.
func (r *Runtime) update(m Msg) {
	for _, e := range r.model.Update(r.config.Now(), m) {
		r.perform(e)
	}
	for len(r.followUps) > 0 {
		next := r.followUps[0]
		r.followUps = r.followUps[1:]
		r.update(next)
	}
}
