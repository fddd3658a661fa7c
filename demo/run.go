package demo

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/intent"
	"github.com/lentilshed/lentilshed/standin/caller"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/lentilshed/lentilshed/store"
)

// ErrInvariantViolated is returned when a run violated an invariant.
var ErrInvariantViolated = errors.New("the run violated an invariant")

// ErrNotReady is returned when some agents did not join their service in time.
var ErrNotReady = errors.New("the system did not become ready in time")

// Run is one run of the demonstration.
type Run struct {
	options     Options
	objectStore *objectstore.Server
	httpServer  *http.Server
	platformURL string
	regions     []*region
	callers     []*caller.Callers
	client      *store.Client
	rand        *rand.Rand
	started     time.Time
	ctx         context.Context //nolint:containedctx // It ends with the run.
	cancel      context.CancelFunc
	wait        sync.WaitGroup

	mu            sync.Mutex
	report        Report
	results       []caller.Result
	crashes       map[string]time.Time
	inForceTimes  *hdrhistogram.Histogram
	steadyMeter   imbalanceMeter
	changingMeter imbalanceMeter
}

// RunScenario runs a whole scenario and returns its report. The error is
// ErrInvariantViolated when the report has violations.
func RunScenario(o Options) (*Report, error) {
	if o.Scenario == ScenarioSteady {
		o.Flows = steadyFlows(o)
	}
	r := &Run{
		options:      o,
		objectStore:  objectstore.New(o.Seed),
		rand:         rand.New(rand.NewPCG(o.Seed, 5)),
		crashes:      map[string]time.Time{},
		inForceTimes: hdrhistogram.New(1, 60_000_000, 3),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	defer r.cancel()
	if err := r.start(); err != nil {
		r.close()
		return nil, err
	}
	err := r.runSteps()
	r.finish()
	if err != nil {
		return nil, err
	}
	if len(r.report.Violations) > 0 {
		return &r.report, ErrInvariantViolated
	}
	return &r.report, nil
}

// steadyFlows returns the number of flows that use the share steadyUtilisation
// of the capacity of all targets.
func steadyFlows(o Options) int {
	n := 0.0
	for _, d := range Deployments() {
		for _, s := range d.Services {
			n += totalSpeed(s) * float64(o.MaxCapacity)
		}
	}
	return int(n * steadyUtilisation)
}

func (r *Run) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	r.httpServer = &http.Server{
		Handler:           r.objectStore,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = r.httpServer.Serve(l) }()
	r.platformURL = "http://" + l.Addr().String()
	r.client = store.New(store.Config{
		BaseURL: r.platformURL,
		Seed:    r.options.Seed,
	})
	for i, d := range Deployments() {
		if err := r.startRegion(d, r.options.Seed*1000+uint64(i)*100); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

func (r *Run) startRegion(d Deployment, seed uint64) error {
	g, err := newRegion(d, r.options, r.platformURL, seed)
	if g != nil {
		r.regions = append(r.regions, g)
	}
	if err != nil {
		return err
	}
	r.callers = append(r.callers, caller.New(caller.Config{
		Dial:         g.fabric.Dial,
		Pause:        lineInterval,
		Report:       r.recordResult,
		FirstAddress: netip.MustParseAddr("100.64.0.1"),
	}))
	return r.declare(g)
}

// declare writes the services of a region to the platform.
func (r *Run) declare(g *region) error {
	_, err := r.change(g, "declare services", func(e *intent.Edit) error {
		for _, s := range g.deployment.Services {
			e.PutService(serviceMessage(s, r.options))
		}
		return nil
	})
	return err
}

func (r *Run) awaitReady() error {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		ready := true
		for _, g := range r.regions {
			ready = ready && g.countJoined() == len(g.agents)
		}
		if ready {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ErrNotReady
}

func (r *Run) recordResult(e caller.Result) {
	if e.Outcome == caller.OutcomeSilent && r.options.Log != nil {
		r.explainSilentFlow(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, e)
}

// explainSilentFlow prints what the agents of a service know of a flow that was
// no longer answered.
func (r *Run) explainSilentFlow(e caller.Result) {
	for _, g := range r.regions {
		g.mu.Lock()
		agents := maps.Clone(g.agents)
		g.mu.Unlock()
		for _, n := range slices.Sorted(maps.Keys(agents)) {
			if strings.HasPrefix(n, e.Service+"-") {
				r.progress("silent flow from %s at %s: agent %s knows %s", e.Source, e.Target, n, agents[n].DescribeFlow(flow.NewKey(e.Source)))
			}
		}
	}
}

func (r *Run) progress(format string, values ...any) {
	if r.options.Progress == nil {
		return
	}
	at := time.Since(r.started).Seconds()
	_, _ = fmt.Fprintf(r.options.Progress, "%6.1f s  %s\n", at, fmt.Sprintf(format, values...))
}

func (r *Run) close() {
	for _, c := range r.callers {
		c.Close()
	}
	for _, g := range r.regions {
		g.close()
	}
	if r.httpServer != nil {
		_ = r.httpServer.Close()
	}
}
