package soak

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// To run by hand: go test ./soak -run TestSoak -timeout 60m -first 1000 -seeds 50 -seconds 12 -parallel 5
var (
	first   = flag.Uint64("first", 1, "first seed")
	seeds   = flag.Int("seeds", 2, "number of seeds")
	seconds = flag.Int("seconds", 5, "seconds of fault injection for each seed")
	series  = flag.Int("series", 1, "number of seeds with restarts in series")
	// agentCount and balancerCount are the processes of each seed.
	agentCount    = flag.Int("agents", 5, "number of agents")
	balancerCount = flag.Int("balancers", 3, "number of balancers, up to 10")
	keep          = flag.String("keep", "", "directory for the logs of failed seeds")
)

const (
	// startupTime lets processes start and flows open before faults are injected.
	startupTime = 2 * time.Second
	// settleTime is slightly longer than the time within which an agent knows its flows
	// again, whichever messages it has missed.
	settleTime = 20 * time.Second
	// regressionFaultTime is the time of fault injection with which the recorded seeds
	// failed.
	regressionFaultTime = 12 * time.Second
	// finalPort is the port of the flows that are opened at the end, on both services.
	finalPort = 443
	// firstNetwork is the second octet of the first loopback network, 127.N.0.0/16. Each
	// seed has a network of its own, up to the number of networks; then they are reused.
	firstNetwork = 21
	networks     = 200
	// firstRegressionSlot keeps the networks of the regressions apart from those of the
	// first 100 other seeds.
	firstRegressionSlot = 100
	// firstSeriesSlot does the same for the seeds of TestSeries, which begin at
	// firstSeriesSeed.
	firstSeriesSlot = 120
	firstSeriesSeed = 1_000_000
	// seriesFactor makes the seeds of TestSeries longer, so that each role is restarted
	// more than once.
	seriesFactor = 4
)

// TestSoak injects random faults into the real programs, one sequence for each seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, i, time.Duration(*seconds)*time.Second)
		})
	}
}

// TestSeries restarts all agents and all balancers in turn, again and again, while other
// planned operations and some faults of the store overlap with the restarts and callers keep
// using flows, half of them with long pauses.
func TestSeries(t *testing.T) {
	t.Parallel()
	for i := range *series {
		seed := firstSeriesSeed + *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, firstSeriesSlot+i, time.Duration(*seconds)*seriesFactor*time.Second)
		})
	}
}

// TestRegressions runs the seeds that once failed; testdata/regressions has the causes.
func TestRegressions(t *testing.T) {
	t.Parallel()
	f, err := os.Open("testdata/regressions")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	i := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		seedText, _, _ := strings.Cut(s.Text(), " ")
		seed, err := strconv.ParseUint(seedText, 10, 64)
		if err != nil {
			continue
		}
		slot := i
		i++
		t.Run(seedText, func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, firstRegressionSlot+slot, regressionFaultTime)
		})
	}
}

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	assignServices(*agentCount)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "lentilshed")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/lentilshed").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// binary is the path of the program.
var binary string

// runSeed runs a region, injects faults for the time d, and reports the violations.
func runSeed(t *testing.T, seed uint64, slot int, d time.Duration) {
	dir := t.TempDir()
	r := newRegion(t, byte(firstNetwork+slot%networks), seed, binary, dir)
	c, err := newCallers(r, seed)
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		c.run()
		close(ended)
	}()
	time.Sleep(startupTime)
	chaos := newChaos(r, c, seed)
	chaos.run(d)
	settle(r, c)
	close(c.done)
	<-ended
	for _, p := range r.processes {
		chaos.wait.Go(p.stop)
	}
	chaos.wait.Wait()
	r.close()
	c.close()
	reportSeed(t, r, dir, seed)
}

// settle ends all link faults and waits. Each open flow that a running backend server
// holds must have been answered meanwhile, each whose backend server has ended must have
// ended too, and new flows must be answered.
func settle(r *region, c *callers) {
	r.proxy.clearFaults()
	v := r.verifier
	v.mu.Lock()
	c.settling = true
	before := map[*callerFlow]int{}
	for _, f := range v.flows {
		if !f.ended {
			before[f] = f.answers
		}
	}
	v.mu.Unlock()
	time.Sleep(settleTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	for f, n := range before {
		switch {
		case f.ended || f.server == nil:
		case f.server.running && f.server.Holds(f.tuple) && f.answers == n:
			v.addViolationLocked("the flow %s, open at the backend server of %s, is not answered: %v", f.tuple, nameOf(f.server.instance), f.path)
		case !f.server.running:
			v.addViolationLocked("the flow %s of the crashed backend server of %s was not reset: %v", f.tuple, nameOf(f.server.instance), f.path)
		}
	}
	c.checkNewFlows()
}

// checkNewFlows opens flows on both services and checks that they are answered. The
// verifier's lock must be held; it is released while the flows open.
func (c *callers) checkNewFlows() {
	var l []*callerFlow
	for i := range 20 {
		l = append(l, c.open(i%2, finalPort, time.Minute))
	}
	c.verifier.mu.Unlock()
	time.Sleep(openTimeout)
	c.verifier.mu.Lock()
	for _, f := range l {
		if f.answers == 0 {
			c.verifier.addViolationLocked("a new flow was not answered after all faults had ended: %s", f.tuple)
		}
	}
}

// reportSeed logs the totals of a seed, and fails the test if there were violations or no
// answers at all.
func reportSeed(t *testing.T, r *region, dir string, seed uint64) {
	v := r.verifier
	v.mu.Lock()
	defer v.mu.Unlock()
	t.Logf("seed %d: %d flows, %d answers, %d resets, %d events, load-aware %v, bursts %v, requests at stops %v", seed, len(v.flows), v.answers, v.resets, len(v.history), r.loadAware, v.bursts, v.pendingAtStops)
	require.Positive(t, v.answers)
	if len(v.violations) == 0 {
		return
	}
	if *keep != "" {
		to := filepath.Join(*keep, fmt.Sprint(seed))
		_ = os.RemoveAll(to)
		_ = os.CopyFS(to, os.DirFS(dir))
	}
	t.Errorf("violations:\n%s\nevents:\n%s", strings.Join(v.violations, "\n"), strings.Join(v.history, "\n"))
}
