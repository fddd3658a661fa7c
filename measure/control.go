package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/balancer"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/lease"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/uber-go/tally/v4"
)

// ErrNotReady is returned when the balancers did not agree on a complete roster
// in time.
var ErrNotReady = errors.New("balancers did not agree on a complete roster in time")

const (
	measureRegion       = "region"
	seedCount           = 3
	readyTimeout        = 60 * time.Second
	readyPollInterval   = 20 * time.Millisecond
	inForcePollInterval = time.Millisecond
	inForceTimeout      = 10 * time.Second
)

// ControlConfig configures RunControl.
type ControlConfig struct {
	Balancers int
	// AgentsPerBalancer is the number of agents that send heartbeats to each
	// balancer.
	AgentsPerBalancer int
	// Idle is how long the idle system is measured.
	Idle time.Duration
	// Changes is the number of changes made after that.
	Changes int
}

// ControlResult is the cost of control traffic at one size of the system. Bytes,
// processor share and heap are per balancer, and the last two include the stand-ins
// in this process. Platform calls are those of the whole system.
type ControlResult struct {
	Balancers              int     `json:"balancers"`
	AgentsPerBalancer      int     `json:"agents_each"`
	BytesPerSecondMean     float64 `json:"control_bytes_per_second_mean"`
	BytesPerSecondMax      float64 `json:"control_bytes_per_second_max"`
	ProcessorShareMean     float64 `json:"processor_share_mean"`
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	InForceP50MS           float64 `json:"in_force_p50_ms"`
	InForceP99MS           float64 `json:"in_force_p99_ms"`
	InForceMaxMS           float64 `json:"in_force_max_ms"`
	BytesPerChangeMean     float64 `json:"control_bytes_per_change_mean"`
	HeapBytesPerProcess    float64 `json:"heap_bytes_mean"`
}

// system is a number of balancers in this process that receive heartbeats of
// agents.
type system struct {
	config      ControlConfig
	objectStore *objectstore.Server
	httpServer  *http.Server
	platformURL string
	balancers   []*balancer.Runtime
	agents      *heartbeats
}

// RunControl runs balancers in this process and measures their control traffic.
func RunControl(c ControlConfig) (*ControlResult, error) {
	before := heap()
	f, err := newSystem(c)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	r := &ControlResult{
		Balancers:           c.Balancers,
		AgentsPerBalancer:   c.AgentsPerBalancer,
		HeapBytesPerProcess: float64(heap()-before) / float64(c.Balancers),
	}
	f.measureIdle(r)
	return r, f.measureChanges(r)
}

func newSystem(c ControlConfig) (*system, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	f := &system{
		config:      c,
		objectStore: objectstore.New(1),
		platformURL: "http://" + l.Addr().String(),
	}
	f.httpServer = &http.Server{
		Handler:           f.objectStore,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = f.httpServer.Serve(l) }()
	for i := range c.Balancers {
		if err := f.add(i); err != nil {
			return f, err
		}
	}
	f.agents = newHeartbeats(f.balancers, c.AgentsPerBalancer)
	return f, f.awaitReady()
}

func (f *system) add(i int) error {
	b, err := f.start(i)
	if err != nil {
		return err
	}
	f.balancers = append(f.balancers, b)
	return nil
}

// replace starts a new incarnation of a balancer that was closed.
func (f *system) replace(i int) error {
	b, err := f.start(i)
	if err != nil {
		return err
	}
	f.balancers[i] = b
	return nil
}

func (f *system) start(i int) (*balancer.Runtime, error) {
	name := fmt.Sprintf("balancer-%03d", i)
	incarnation := uint64(time.Now().UnixMicro())
	var seeds []string
	for n, b := range f.balancers {
		if n != i && len(seeds) < seedCount {
			seeds = append(seeds, b.ControlAddress())
		}
	}
	b, err := balancer.NewRuntime(balancer.RuntimeConfig{
		Config: balancer.Config{
			Name:           name,
			Region:         measureRegion,
			Domain:         domain(i),
			Incarnation:    incarnation,
			PacketAddress:  "127.0.0.1:0",
			ControlAddress: "127.0.0.1:0",
			Seeds:          seeds,
			Lease: lease.Config{
				Holder:         fmt.Sprintf("%s/%d", name, incarnation),
				TTL:            balancer.LeaseTTL,
				RenewInterval:  balancer.LeaseRenewInterval,
				SilenceTimeout: balancer.LeaseSilenceTimeout,
			},
		},
		Platform: store.New(store.Config{
			BaseURL: f.platformURL,
			Seed:    incarnation,
		}),
		Log:   telemetry.NewLogger(io.Discard, "balancer", "error"),
		Scope: tally.NoopScope,
	})
	return b, errors.Wrap(err, name)
}

// awaitReady waits until all balancers have the same roster with all members.
func (f *system) awaitReady() error {
	want := f.config.Balancers * (f.config.AgentsPerBalancer + 1)
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.agree(want) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return ErrNotReady
}

// agree reports whether all balancers have the same version of the roster and
// at least a number of members.
func (f *system) agree(members int) bool {
	first := f.balancers[0].State()
	for _, b := range f.balancers {
		s := b.State()
		if s.RosterVersion != first.RosterVersion || s.Members < members {
			return false
		}
	}
	return true
}

func (f *system) measureIdle(r *ControlResult) {
	bytesBefore := f.controlBytes()
	callsBefore := f.platformCalls()
	cpuBefore := processorTime()
	time.Sleep(f.config.Idle)
	seconds := f.config.Idle.Seconds()
	r.ProcessorShareMean = (processorTime() - cpuBefore).Seconds() / seconds / float64(len(f.balancers))
	r.PlatformCallsPerSecond = float64(f.platformCalls()-callsBefore) / seconds
	for i, n := range f.controlBytes() {
		rate := float64(n-bytesBefore[i]) / seconds
		r.BytesPerSecondMean += rate / float64(len(f.balancers))
		r.BytesPerSecondMax = max(r.BytesPerSecondMax, rate)
	}
}

// measureChanges makes changes one after the other and waits for each until it
// is in force on every balancer. It fails if one takes longer than inForceTimeout.
func (f *system) measureChanges(r *ControlResult) error {
	h := hdrhistogram.New(1, 60_000_000, 3)
	s := intent.NewStore(store.New(store.Config{
		BaseURL: f.platformURL,
	}), measureRegion)
	idle := r.BytesPerSecondMean
	started := time.Now()
	bytesBefore := f.controlBytes()
	for i := range f.config.Changes {
		d, err := f.change(s, i)
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Microseconds())
	}
	seconds := time.Since(started).Seconds()
	total := 0.0
	for i, n := range f.controlBytes() {
		total += float64(n - bytesBefore[i])
	}
	n := float64(max(1, f.config.Changes))
	r.BytesPerChangeMean = max(0, total/float64(len(f.balancers))-idle*seconds) / n
	r.InForceP50MS = float64(h.ValueAtQuantile(50)) / 1000
	r.InForceP99MS = float64(h.ValueAtQuantile(99)) / 1000
	r.InForceMaxMS = float64(h.Max()) / 1000
	return nil
}

func (f *system) change(s *intent.Store, i int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	base, err := s.Read(ctx)
	if err != nil {
		return 0, err
	}
	o := &controlpb.Operation{
		Id:      fmt.Sprint(i),
		Author:  "measure",
		Summary: "change one service",
	}
	changed, err := s.Change(ctx, base, o, func(e *intent.Edit) error {
		e.PutService(&controlpb.Service{
			Name:      serviceName(i % 50),
			Address:   fmt.Sprintf("10.64.0.%d:7000", i%50),
			ColdShare: 0.1,
			FlowLimit: uint32(1000 + i),
		})
		return nil
	})
	if err != nil {
		return 0, err
	}
	acceptedAt := time.Now()
	for f.lowestRevision() < changed.Document.Revision && ctx.Err() == nil {
		time.Sleep(inForcePollInterval)
	}
	return time.Since(acceptedAt), errors.Wrap(ctx.Err(), "change not in force")
}

func (f *system) lowestRevision() uint64 {
	low := f.balancers[0].State().IntentRevision
	for _, b := range f.balancers {
		low = min(low, b.State().IntentRevision)
	}
	return low
}

func (f *system) controlBytes() []uint64 {
	var l []uint64
	for _, b := range f.balancers {
		sent, received := b.ControlBytes()
		l = append(l, sent+received)
	}
	return l
}

func (f *system) platformCalls() uint64 {
	c := f.objectStore.Calls()
	return c.Reads + c.Writes + c.Watches
}

func (f *system) close() {
	if f.agents != nil {
		f.agents.close()
	}
	for _, b := range f.balancers {
		b.Close()
	}
	_ = f.httpServer.Close()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
