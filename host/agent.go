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
	"github.com/lentilshed/lentilshed/queue"
	"github.com/lentilshed/lentilshed/relay"
)

// AgentConfig holds the settings and dependencies of an agent.
type AgentConfig struct {
	Name   string
	Domain string
	// PeerAddress is where balancers send datagrams. Packets for callers go to the
	// same port at the caller.
	PeerAddress netip.AddrPort
	// OutboundAddress is where the backend server sends its packets.
	OutboundAddress netip.AddrPort
	Backend         Backend
	// Balancers are addresses where balancers may run, used before the registry has
	// been read.
	Balancers []netip.AddrPort
	Codec     PacketCodec
	Registry  Registry
	// LoadAware turns on learned costs, the queue of requests and the detection of failures.
	LoadAware bool
	// Queue bounds the queue of requests, and Ahead is the number of requests beyond the slots
	// that the backend server has while others wait.
	Queue queue.Limits
	Ahead int
	// RecordCheckInterval is the time between two checks that the record of the agent is
	// still in the registry; zero or less is the default.
	RecordCheckInterval time.Duration
	Log                 func(LogEvent)
	// Hop records in a trace that a packet of a flow passed here; nil records nothing.
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
	buffer   []byte
	service  relay.ServiceID
	probing  atomic.Bool
	// incarnations queues the incarnations of the backend server that are to be
	// recorded; incarnationAt is when the latest was taken from the queue.
	incarnations  chan uint64
	incarnationAt time.Time
	// recorded is the incarnation that the registry has, as far as is known.
	recorded   uint64
	healthPath atomic.Pointer[string]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

const (
	// balancersInterval is the time between two reads of the list of balancers; new
	// balancers request reports themselves.
	balancersInterval = 15 * time.Second
	// maxIncarnations bounds the incarnations that wait to be recorded.
	maxIncarnations = 16
	// defaultRecordCheckInterval bounds the time for which the record of an agent may be
	// missing, for example because another writer has removed it.
	defaultRecordCheckInterval = 25 * time.Second
	// finalReports is the number of reports that an agent sends when it stops, as some
	// are lost, and finalReportDelay is the time after each.
	finalReports     = 3
	finalReportDelay = 50 * time.Millisecond
	// maxDrainTime bounds the time for which a stopping agent waits for answers in
	// flight, and drainCheckInterval is the time between two checks. Long flows keep
	// bringing requests, so a busy agent may never be without one.
	maxDrainTime       = 1500 * time.Millisecond
	drainCheckInterval = 10 * time.Millisecond
	// declaredInterval is the time between two reads of the declared configuration of
	// the service. Report requests of balancers bring changes sooner.
	declaredInterval = 25 * time.Second
)

// NewAgent opens the sockets and starts the goroutines of an agent.
func NewAgent(c AgentConfig) (*Agent, error) {
	if c.RecordCheckInterval <= 0 {
		c.RecordCheckInterval = defaultRecordCheckInterval
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config: c,
		model: holder.NewModel(holder.Config{
			Name:      c.Name,
			Service:   c.Backend.Service,
			Balancers: c.Balancers,
			LoadAware: c.LoadAware,
			Queue:     c.Queue,
			Ahead:     c.Ahead,
		}, now),
		self: director.Member{
			Name:        c.Name,
			Address:     c.PeerAddress,
			Service:     c.Backend.Service,
			Domain:      c.Domain,
			Incarnation: uint64(now.UnixMicro()),
		},
		incarnations: make(chan uint64, maxIncarnations),
		service:      relay.NewServiceID(c.Backend.Service),
		cancel:       cancel,
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
	a.goroutines.Go(func() { a.peer.serve(a.fromPeer) })
	a.goroutines.Go(func() { a.outbound.serve(a.fromBackend) })
	a.goroutines.Go(func() { a.followDeclared(ctx) })
	a.goroutines.Go(func() { a.register(ctx) })
	a.goroutines.Go(func() { a.followBalancers(ctx) })
	a.goroutines.Go(func() { a.runTicks(ctx) })
}

// Ready reports whether the agent is ready, which it always is.
func (a *Agent) Ready() bool {
	return true
}

// Heartbeat handles a heartbeat of the backend server. Once it has returned, no new
// flow goes to a backend server that is draining.
func (a *Agent) Heartbeat(m holder.HeartbeatMsg) {
	a.update(m)
}

// Deregister handles the deregistration of the backend server, which is stopping.
func (a *Agent) Deregister(m holder.DeregisterMsg) {
	a.update(m)
}

// Stats returns the counters since the start.
func (a *Agent) Stats() holder.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model.Stats()
}

// Stop reports to balancers that the agent is stopping, which ends new flows to it, hands its
// open flows over to some of them, and ends it once no caller waits for the backend server or after
// maxDrainTime. It removes the agent's record if the backend server has ended before.
func (a *Agent) Stop() {
	for range finalReports {
		a.update(holder.StopMsg{})
		time.Sleep(finalReportDelay)
	}
	for end := time.Now().Add(maxDrainTime); !a.quiet() && time.Now().Before(end); {
		time.Sleep(drainCheckInterval)
	}
	a.mu.Lock()
	ended := a.model.BackendEnded()
	a.apply(time.Now(), holder.ExitMsg{})
	a.mu.Unlock()
	if ended {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := a.config.Registry.UnregisterAgent(ctx, a.config.Name); err != nil {
			a.logError("record of this agent was not removed from the registry", err)
		}
	}
	a.Kill()
}

// quiet reports whether no caller waits for the backend server.
func (a *Agent) quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model.BackendEnded() || a.model.Quiet(time.Now())
}

// Kill ends all goroutines of the agent without further reports.
func (a *Agent) Kill() {
	a.cancel()
	a.peer.close()
	a.outbound.close()
	a.goroutines.Wait()
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

func (a *Agent) fromBackend(_ netip.AddrPort, p []byte) {
	s, err := a.config.Codec.DecodeFromBackend(p)
	if err != nil {
		return
	}
	a.config.hop(s.Tuple, hopBackend)
	a.update(holder.OutboundMsg{
		Segment: s,
		Data:    p,
	})
}

func (a *Agent) runTicks(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var detector pauseDetector
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if detector.check() {
			a.config.Log(LogEvent{
				Event: "process was paused; waiting for a heartbeat or probe of the backend server",
			})
			a.update(holder.ResumedMsg{})
		}
		a.update(holder.TickMsg{})
	}
}

// sendReport sends a report on this target to some balancers. The caller holds the
// lock.
func (a *Agent) sendReport(now time.Time, e holder.ReportEffect) {
	a.self.Sequence++
	r := a.model.Report(now)
	if e.WithoutLoad {
		r = r.WithoutLoad()
	}
	a.sendControl(encodeReport(a.self, r), e.To)
}

func (a *Agent) send(s *socket, b []byte, to netip.AddrPort) {
	if err := s.send(b, to); err != nil {
		a.logError("datagram was not sent", err)
	}
}

func (a *Agent) logError(event string, err error) {
	a.config.Log(LogEvent{
		Event: event,
		Err:   err,
	})
}
