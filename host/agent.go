package host

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/relay"
)

// AgentConfig says where an agent runs and what it works with.
type AgentConfig struct {
	Name   string
	Domain string
	// PeerAddress is where balancers send datagrams; packets for callers go to the same
	// port of theirs.
	PeerAddress netip.AddrPort
	// OutboundAddress is where the backend server sends its packets.
	OutboundAddress netip.AddrPort
	Backend         Backend
	// Balancers are addresses to start from.
	Balancers []netip.AddrPort
	Codec     PacketCodec
	Registry  Registry
	Log       func(LogEvent)
	// Hop records that a packet of a flow passed here; nil for nowhere.
	Hop func(t flow.Tuple, name string)
}

// Agent is a running agent.
type Agent struct {
	config   AgentConfig
	mu       sync.Mutex
	model    *holder.Model
	self     director.Member
	peer     *socket
	outbound *socket
	out      []byte
	service  relay.ServiceID
	probing  atomic.Bool
	// lives has the lives of the backend server that are to be recorded; lifeAt
	// is when the latest was taken from there.
	lives      chan uint64
	lifeAt     time.Time
	healthPath atomic.Pointer[string]
	cancel     context.CancelFunc
	wait       sync.WaitGroup
}

const (
	// balancersPeriod is the time between two lists of balancers; new ones ask
	// for reports themselves.
	balancersPeriod = 8 * time.Second
	// maxLives bounds the lives that wait to be recorded.
	maxLives = 16
	// registerPatience is the time after which an agent serves without a record:
	// the registry may be away for long.
	registerPatience = 1500 * time.Millisecond
	// lastReports is the number of reports that an agent leaves, as some are lost, and
	// lastReportDelay the time after each.
	lastReports     = 3
	lastReportDelay = 50 * time.Millisecond
	// declaredPeriod is the time between two reads of what is declared about the
	// service.
	declaredPeriod = 10 * time.Second
)

// NewAgent opens the sockets and starts all duties.
func NewAgent(c AgentConfig) (*Agent, error) {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config: c,
		model: holder.NewModel(holder.Config{
			Service:   c.Backend.Service,
			Balancers: c.Balancers,
		}, now),
		self: director.Member{
			Name:        c.Name,
			Address:     c.PeerAddress,
			Service:     c.Backend.Service,
			Domain:      c.Domain,
			Incarnation: uint64(now.UnixMicro()),
		},
		lives:   make(chan uint64, maxLives),
		service: relay.NewServiceID(c.Backend.Service),
		cancel:  cancel,
	}
	var err error
	if a.peer, err = openSocket(c.PeerAddress); err != nil {
		cancel()
		return nil, err
	}
	if a.outbound, err = openSocket(c.OutboundAddress); err != nil {
		cancel()
		a.peer.close()
		return nil, err
	}
	a.start(ctx)
	return a, nil
}

func (a *Agent) start(ctx context.Context) {
	a.wait.Go(func() { a.peer.serve(a.fromPeer) })
	a.wait.Go(func() { a.outbound.serve(a.fromTarget) })
	a.wait.Go(func() { a.followDeclared(ctx) })
	a.wait.Go(func() { a.register(ctx) })
	a.wait.Go(func() { a.followBalancers(ctx) })
	a.wait.Go(func() { a.ticks(ctx) })
}

// Ready reports whether the agent serves.
func (a *Agent) Ready() bool {
	return true
}

// Heartbeat takes what the backend server says of itself. When it returns, no
// new flow passes to a backend server that leaves.
func (a *Agent) Heartbeat(m holder.HeartbeatMsg) {
	a.update(m)
}

// Deregister takes the farewell of the backend server.
func (a *Agent) Deregister(m holder.DeregisterMsg) {
	a.update(m)
}

// Stats returns the counters so far.
func (a *Agent) Stats() holder.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model.Stats()
}

// Stop tells balancers that the agent leaves, and ends. The record goes when
// the backend server has ended before.
func (a *Agent) Stop() {
	for range lastReports {
		a.update(holder.StopMsg{})
		time.Sleep(lastReportDelay)
	}
	a.mu.Lock()
	ended := a.model.BackendEnded()
	a.mu.Unlock()
	if ended {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := a.config.Registry.UnregisterAgent(ctx, a.config.Name); err != nil {
			a.failed("record was not removed", err)
		}
	}
	a.Kill()
}

// Kill ends all duties at once.
func (a *Agent) Kill() {
	a.cancel()
	a.peer.close()
	a.outbound.close()
	a.wait.Wait()
}

func (a *Agent) update(m holder.Msg) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(time.Now(), m)
}

func (a *Agent) apply(now time.Time, m holder.Msg) {
	for _, e := range a.model.Update(now, m) {
		a.perform(now, e)
	}
}

func (a *Agent) fromTarget(_ netip.AddrPort, p []byte) {
	s, err := a.config.Codec.DecodeFromBackend(p)
	if err != nil {
		return
	}
	a.config.hop(s.Tuple, hopTarget)
	a.update(holder.OutboundMsg{
		Segment: s,
		Data:    p,
	})
}

func (a *Agent) ticks(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var s standstill
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.check() {
			a.config.Log(LogEvent{
				Event: "process stood still, asking the backend server again",
			})
			a.update(holder.ResumedMsg{})
		}
		a.update(holder.TickMsg{})
	}
}

// report tells some balancers about this target. The lock is held.
func (a *Agent) report(now time.Time, to []netip.AddrPort) {
	a.self.Sequence++
	out, err := relay.AppendControl(a.out[:0], reportOf(a.self, a.model.Report(now)))
	if err != nil {
		a.failed("report was not sent", err)
		return
	}
	a.out = out
	for _, x := range to {
		a.send(a.peer, a.out, x)
	}
}

func (a *Agent) send(s *socket, b []byte, to netip.AddrPort) {
	if err := s.send(b, to); err != nil {
		a.failed("datagram was not sent", err)
	}
}

func (a *Agent) failed(event string, err error) {
	a.config.Log(LogEvent{
		Event: event,
		Err:   err,
	})
}
