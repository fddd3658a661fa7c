package balancer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// ErrIsolated is the health of a balancer that nobody tells what is in force.
var ErrIsolated = errors.New("isolated: cannot learn what is in force")

const (
	ringSize   = 4096
	tickPeriod = 50 * time.Millisecond
	// forwarders read packets from the one socket.
	forwarders = 2
)

// RuntimeConfig says what a runtime works with.
type RuntimeConfig struct {
	Config   Config
	Platform *store.Client
	Log      *log.Logger
	Scope    tally.Scope
	Tracer   *telemetry.Tracer
	// Send replaces the write of a packet to the next hop; nil writes to the
	// socket. Tests and the demo put delays and loss here.
	Send func(s *net.UDPConn, b []byte, to netip.AddrPort) error
	// Now replaces the clock; nil takes time.Now.
	Now func() time.Time
}

// Runtime performs the effects of a Model: one goroutine owns the model, some
// forward packets, one watches the platform. They are joined by one bounded
// ring of messages.
type Runtime struct {
	config  RuntimeConfig
	model   *Model
	routes  atomic.Pointer[Routes]
	ring    chan Msg
	stop    chan struct{}
	wait    sync.WaitGroup
	socket  *net.UDPConn
	server  *control.Server
	dialer  *control.Dialer
	uplink  *control.Dialer
	bytes   control.ByteCounts
	conns   connTable
	watcher *watcher
	lease   *leaseCaller
	drops   dropCounters
	state   atomic.Pointer[State]
}

// State is a snapshot of a running balancer for health, metrics and reports.
type State struct {
	IntentRevision uint64
	RosterVersion  uint64
	IsRegistrar    bool
	Isolated       bool
	Agents         int
	// Members is the number of targets and instances in the roster.
	Members int
	Stats   Stats
}

// NewRuntime opens the sockets and starts all duties.
func NewRuntime(c RuntimeConfig) (*Runtime, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Send == nil {
		c.Send = sendNow
	}
	r := &Runtime{
		config: c,
		ring:   make(chan Msg, ringSize),
		stop:   make(chan struct{}),
		conns:  newConnTable(),
		drops:  newDropCounters(c.Scope),
	}
	r.routes.Store(NewRoutes(nil, false))
	r.state.Store(&State{})
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.model = NewModel(r.config.Config, c.Now())
	r.watcher = newWatcher(intent.NewStore(c.Platform, c.Config.Region), r.post)
	r.lease = newLeaseCaller(c.Platform, c.Config.Region, r.post)
	r.start()
	return r, nil
}

// ControlAddress returns the address of the control listener.
func (r *Runtime) ControlAddress() string {
	return r.server.Address()
}

// PacketAddress returns the address that takes packets from the fabric.
func (r *Runtime) PacketAddress() netip.AddrPort {
	a, _ := netip.ParseAddrPort(r.config.Config.PacketAddress)
	return a
}

// State returns the latest snapshot.
func (r *Runtime) State() State {
	return *r.state.Load()
}

// ControlBytes returns what control connections sent and received so far.
func (r *Runtime) ControlBytes() (sent, received uint64) {
	return r.bytes.Sent.Load(), r.bytes.Received.Load()
}

// Routes returns the routes in force.
func (r *Runtime) Routes() *Routes {
	return r.routes.Load()
}

// Health returns nil while the balancer may get packets.
func (r *Runtime) Health() error {
	if r.State().Isolated {
		return ErrIsolated
	}
	return nil
}

// Close stops all duties and waits for them.
func (r *Runtime) Close() {
	close(r.stop)
	r.watcher.set(false)
	r.dialer.Close()
	r.uplink.Close()
	r.server.Close()
	_ = r.socket.Close()
	r.wait.Wait()
	r.watcher.close()
	r.lease.close()
}

func (r *Runtime) listen() error {
	a, err := netip.ParseAddrPort(r.config.Config.PacketAddress)
	if err != nil {
		return errors.Wrap(err, "packet address")
	}
	r.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return errors.Wrap(err, "listen for packets")
	}
	_ = r.socket.SetReadBuffer(socketBuffer)
	h := r.handler(roleBalancer)
	r.server, err = control.Listen(r.config.Config.ControlAddress, h)
	if err != nil {
		_ = r.socket.Close()
		return err
	}
	r.dialer = control.NewDialer(h)
	r.uplink = control.NewDialer(r.handler(roleClaimant))
	r.config.Config.PacketAddress = r.socket.LocalAddr().String()
	r.config.Config.ControlAddress = r.server.Address()
	r.config.Config.Lease.Address = r.server.Address()
	return nil
}

func (r *Runtime) start() {
	r.wait.Add(1 + forwarders)
	go r.run()
	for range forwarders {
		go r.forward()
	}
}

// post queues a message for the model; it waits while the ring is full.
func (r *Runtime) post(m Msg) {
	select {
	case r.ring <- m:
	case <-r.stop:
	}
}

// run owns the model.
func (r *Runtime) run() {
	defer r.wait.Done()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case m := <-r.ring:
			r.update(m)
		case <-t.C:
			r.update(TickMsg{})
			r.publishState()
		}
	}
}

func (r *Runtime) update(m Msg) {
	was := r.model.IsRegistrar()
	for _, e := range r.model.Update(r.config.Now(), m) {
		r.perform(e)
	}
	if is := r.model.IsRegistrar(); is != was {
		r.config.Log.Info().Bool("registrar", is).Msg("the registrar changed")
	}
}

func (r *Runtime) publishState() {
	r.state.Store(&State{
		IntentRevision: r.model.IntentRevision(),
		RosterVersion:  uint64(r.model.RosterVersion()),
		IsRegistrar:    r.model.IsRegistrar(),
		Isolated:       r.model.Isolated(),
		Agents:         len(r.model.listeners),
		Members:        r.model.roster.Len(),
		Stats:          r.model.Stats(),
	})
}

// uplinkKeepAlive is longer than that of other connections: the registrar has
// one from every balancer.
const uplinkKeepAlive = 30 * time.Second

// handler takes connections of one role.
func (r *Runtime) handler(role string) control.Handler {
	h := control.Handler{
		Hello: func() *controlpb.Hello { return r.hello(role) },
		Bytes: &r.bytes,
		Open: func(c *control.Conn) {
			r.post(OpenMsg{
				Conn:        r.conns.add(c),
				Hello:       c.Peer,
				ToRegistrar: role == roleClaimant,
			})
		},
		Message: func(c *control.Conn, e *controlpb.Envelope) {
			r.post(EnvelopeMsg{
				Conn:     r.conns.id(c),
				Envelope: e,
			})
		},
		Close: func(c *control.Conn) {
			r.post(CloseMsg{
				Conn: r.conns.remove(c),
			})
		},
	}
	if role == roleClaimant {
		h.KeepAliveInterval = uplinkKeepAlive
	}
	return h
}

func (r *Runtime) hello(role string) *controlpb.Hello {
	c := &r.config.Config
	s := r.State()
	return &controlpb.Hello{
		Name:           c.Name,
		Domain:         c.Domain,
		Region:         c.Region,
		Role:           role,
		ControlAddress: c.ControlAddress,
		IntentRevision: s.IntentRevision,
		RosterVersion:  s.RosterVersion,
	}
}
