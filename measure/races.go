package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/fleet"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
	"google.golang.org/protobuf/encoding/protojson"
)

// RacesConfig configures RunRaces.
type RacesConfig struct {
	Balancers int
	Operators int
	Length    time.Duration
	Seed      uint64
	// Faults adds outages, throttling, slow and lost answers, broken watches,
	// and restarts of balancers.
	Faults bool
}

// races is one run of operators that make changes at the same time.
type races struct {
	config RacesConfig
	system *system
	ctx    context.Context //nolint:containedctx // It ends with the run.
	mu     sync.Mutex
	result RacesResult
	// accepted has the revision of each accepted change by the id of its operation.
	accepted map[string]uint64
	// storedRevision is that of the last document that the platform stored.
	storedRevision uint64
	pending        []pendingChange
	started        time.Time
	faults         []fault
	inForceTimes   *hdrhistogram.Histogram
}

// fault is a fault and the time at which it began.
type fault struct {
	at   time.Time
	name string
}

// pendingChange is an accepted change that is not yet in force on every
// balancer.
type pendingChange struct {
	revision        uint64
	acceptedAt      time.Time
	firstReceivedAt time.Time
}

const (
	faultInterval    = 3 * time.Second
	settleTime       = 8 * time.Second
	raceDomains      = 20
	maxOperatorPause = 120 * time.Millisecond
)

// RunRaces lets operators make conflicting changes for a time and checks what
// became of the accepted ones.
func RunRaces(c RacesConfig) (*RacesResult, error) {
	f, err := newSystem(ControlConfig{
		Balancers:         c.Balancers,
		AgentsPerBalancer: 1,
	})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Length)
	defer cancel()
	r := &races{
		config:       c,
		system:       f,
		ctx:          ctx,
		accepted:     map[string]uint64{},
		inForceTimes: hdrhistogram.New(1, 600_000_000, 3),
	}
	return r.run()
}

func (r *races) run() (*RacesResult, error) {
	started := time.Now()
	r.started = started
	callsBefore := r.system.platformCalls()
	r.system.objectStore.OnWrite(r.checkWrite)
	var w sync.WaitGroup
	w.Add(r.config.Operators + 2)
	for i := range r.config.Operators {
		go func() {
			defer w.Done()
			r.operate(i)
		}()
	}
	go func() {
		defer w.Done()
		r.injectFaults()
	}()
	stop := make(chan struct{})
	go func() {
		defer w.Done()
		r.watch(stop)
	}()
	<-r.ctx.Done()
	r.system.objectStore.SetFaults(objectstore.Faults{})
	time.Sleep(settleTime)
	close(stop)
	w.Wait()
	seconds := time.Since(started).Seconds()
	r.result.PlatformCallsPerSecond = float64(r.system.platformCalls()-callsBefore) / seconds
	for _, n := range r.system.controlBytes() {
		r.result.ControlBytesPerSecondMax = max(r.result.ControlBytesPerSecondMax, float64(n)/seconds)
	}
	return &r.result, r.check()
}

// checkWrite checks each document that the platform stores: its revision must
// be one above the last, so that no write undoes another.
func (r *races) checkWrite(path string, value []byte) {
	if path != intent.Kind+"/"+measureRegion {
		return
	}
	m := &controlpb.Intent{}
	err := protojson.Unmarshal(value, m)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || m.GetRevision() != r.storedRevision+1 {
		r.result.Reverted++
	}
	r.storedRevision = m.GetRevision()
}

// operate makes one operator's changes, one after the other.
func (r *races) operate(operator int) {
	rng := rand.New(rand.NewPCG(r.config.Seed, uint64(operator)))
	s := intent.NewStore(r.newClient(uint64(operator)), measureRegion)
	for i := 0; r.ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(maxOperatorPause))))
		r.changeOnce(s, fmt.Sprintf("%d/%d", operator, i), fmt.Sprintf("domain-%d", rng.IntN(raceDomains)))
	}
}

func (r *races) changeOnce(s *intent.Store, id, domain string) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	seen, err := s.Read(ctx)
	if err != nil {
		return
	}
	address, _ := fleet.FindRegistrar(ctx, r.newClient(0), measureRegion)
	out := !seen.Document.OutOfService(domain)
	changed, err := s.Change(ctx, seen, &controlpb.Operation{
		Id:      id,
		Author:  "operator",
		Summary: domain,
	}, func(e *intent.Edit) error {
		e.SetDomainOutOfService(domain, out, time.Now())
		return nil
	})
	r.countChange(id, changed, err)
	if err == nil {
		_ = fleet.SendIntent(ctx, address, changed.Document.Since(seen.Document.Revision))
	}
}

func (r *races) countChange(id string, changed intent.VersionedDocument, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		revision := changed.Document.Operation(id).GetRevision()
		r.accepted[id] = revision
		r.result.Accepted++
		r.pending = append(r.pending, pendingChange{
			revision:   revision,
			acceptedAt: time.Now(),
		})
	case errors.Is(err, intent.ErrLostRace):
		r.result.LostRaces++
	default:
		r.result.Unknown++
	}
}

// injectFaults injects a random fault every faultInterval, if the run has
// faults. Each ends the one before.
func (r *races) injectFaults() {
	rng := rand.New(rand.NewPCG(r.config.Seed, 99))
	for r.config.Faults && r.ctx.Err() == nil {
		n := rng.IntN(4)
		r.recordFault([...]string{"outage", "slow and lost answers", "broken watches", "restart"}[n])
		switch n {
		case 0:
			r.system.objectStore.SetFaults(objectstore.Faults{
				Down: true,
			})
			r.increment(&r.result.Outages)
		case 1:
			r.system.objectStore.SetFaults(objectstore.Faults{
				Delay:         300 * time.Millisecond,
				LostResponses: 0.3,
			})
		case 2:
			r.system.objectStore.SetFaults(objectstore.Faults{
				LostResponses: 0.2,
				BrokenWatches: 0.3,
				Throttled:     0.1,
			})
		default:
			r.system.objectStore.SetFaults(objectstore.Faults{})
			r.restart(rng.IntN(r.config.Balancers))
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(faultInterval):
		}
	}
}

func (r *races) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fault{
		at:   time.Now(),
		name: name,
	})
}

// restart replaces one balancer, which may be the registrar.
func (r *races) restart(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.system.balancers[i].Close()
	if err := r.system.replace(i); err == nil {
		r.result.Restarts++
	}
}

func (r *races) increment(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *races) newClient(seed uint64) *store.Client {
	return store.New(store.Config{
		BaseURL: r.system.platformURL,
		Seed:    seed,
	})
}
