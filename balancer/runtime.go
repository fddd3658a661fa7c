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

// ErrIsolated is the health of a balancer that is cut off from its neighbours,
// the registrar and the platform, so that its state may be stale. /healthz
// returns the text, so it stays as it is.
var ErrIsolated = errors.New("isolated: cannot learn what is in force")

const (
	queueSize    = 4096
	tickInterval = 50 * time.Millisecond
	// forwarders is the number of goroutines that forward packets from the socket.
	forwarders = 2
)

// RuntimeConfig holds the settings and dependencies of a Runtime.
type RuntimeConfig struct {
	Config   Config
	Platform *store.Client
	Log      *log.Logger
	Scope    tally.Scope
	Tracer   *telemetry.Tracer
	// Send writes a packet to the next hop; nil writes to the socket. The demo adds
	// delay and loss here.
	Send func(s *net.UDPConn, b []byte, to netip.AddrPort) error
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Runtime performs the effects of a Model. One goroutine owns the model, some
// forward packets, and one watches the platform. Messages reach the model through
// one bounded queue.
type Runtime struct {
	config          RuntimeConfig
	model           *Model
	routes          atomic.Pointer[Routes]
	queue           chan Msg
	stop            chan struct{}
	wait            sync.WaitGroup
	socket          *net.UDPConn
	server          *control.Server
	neighbourDialer *control.Dialer
	registrarDialer *control.Dialer
	bytes           control.ByteCounts
	conns           connTable
	watcher         *watcher
	lease           *leaseCaller
	drops           dropCounters
	state           atomic.Pointer[State]
}

// State is a snapshot of a running balancer for health, metrics and reports.
type State struct {
	IntentRevision uint64
	RosterVersion  uint64
	IsRegistrar    bool
	Isolated       bool
	Agents         int
	// Members is the number of targets and balancers in the roster, gone ones
	// included.
	Members int
	Stats   Stats
}

// NewRuntime opens the sockets and starts all goroutines.
func NewRuntime(c RuntimeConfig) (*Runtime, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Send == nil {
		c.Send = writeDatagram
	}
	r := &Runtime{
		config: c,
		queue:  make(chan Msg, queueSize),
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

// PacketAddress returns the address that receives packets from the fabric.
func (r *Runtime) PacketAddress() netip.AddrPort {
	a, _ := netip.ParseAddrPort(r.config.Config.PacketAddress)
	return a
}

// State returns the snapshot of the latest tick; it is zero before the first tick.
func (r *Runtime) State() State {
	return *r.state.Load()
}

// ControlBytes returns the numbers of bytes that control connections have sent
// and received.
func (r *Runtime) ControlBytes() (sent, received uint64) {
	return r.bytes.Sent.Load(), r.bytes.Received.Load()
}

// Routes returns the routes in force.
func (r *Runtime) Routes() *Routes {
	return r.routes.Load()
}

// Health returns ErrIsolated while the balancer is isolated and should get no
// packets, and nil otherwise.
func (r *Runtime) Health() error {
	if r.State().Isolated {
		return ErrIsolated
	}
	return nil
}

// Close closes the sockets, stops all goroutines and waits for them.
func (r *Runtime) Close() {
	close(r.stop)
	r.watcher.set(false)
	r.neighbourDialer.Close()
	r.registrarDialer.Close()
	r.server.Close()
	_ = r.socket.Close()
	r.wait.Wait()
	r.watcher.close()
	r.lease.close()
}

func (r *Runtime) listen() error {
	a, err := netip.ParseAddrPort(r.config.Config.PacketAddress)
	if err != nil {
		return errors.Wrap(err, "parse packet address")
	}
	r.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return errors.Wrap(err, "listen for packets")
	}
	_ = r.socket.SetReadBuffer(socketBufferSize)
	h := r.handler(roleBalancer)
	r.server, err = control.Listen(r.config.Config.ControlAddress, h)
	if err != nil {
		_ = r.socket.Close()
		return err
	}
	r.neighbourDialer = control.NewDialer(h)
	r.registrarDialer = control.NewDialer(r.handler(roleClaimant))
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

// post queues a message for the model. It blocks while the queue is full, and may
// drop the message once the runtime is being closed.
func (r *Runtime) post(m Msg) {
	select {
	case r.queue <- m:
	case <-r.stop:
	}
}

// run passes messages and ticks to the model until the runtime is closed.
func (r *Runtime) run() {
	defer r.wait.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case m := <-r.queue:
			r.update(m)
		case <-t.C:
			r.update(TickMsg{})
			r.publishState()
		}
	}
}

func (r *Runtime) update(m Msg) {
	before := r.model.IsRegistrar()
	for _, e := range r.model.Update(r.config.Now(), m) {
		r.perform(e)
	}
	if after := r.model.IsRegistrar(); after != before {
		r.config.Log.Info().Bool("registrar", after).Msg("the registrar role of this balancer changed")
	}
}

func (r *Runtime) publishState() {
	r.state.Store(&State{
		IntentRevision: r.model.IntentRevision(),
		RosterVersion:  uint64(r.model.RosterVersion()),
		IsRegistrar:    r.model.IsRegistrar(),
		Isolated:       r.model.Isolated(),
		Agents:         len(r.model.agents),
		Members:        r.model.roster.Len(),
		Stats:          r.model.Stats(),
	})
}

// registrarKeepAlive is the keep-alive interval of connections to the registrar.
// It is longer than that of other connections because the registrar has one from
// every balancer.
const registrarKeepAlive = 30 * time.Second

// handler returns a handler that posts the events of connections to the model and
// gives the role in its hello.
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
		h.KeepAliveInterval = registrarKeepAlive
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
