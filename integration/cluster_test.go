package integration

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/lentilshed/lentilshed/standin/backend"
	"github.com/lentilshed/lentilshed/standin/caller"
	"github.com/lentilshed/lentilshed/standin/fabric"
	"github.com/lentilshed/lentilshed/standin/objectstore"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	region      = "bayern"
	service     = "liedlive"
	waitTimeout = 20 * time.Second
	pollPause   = 20 * time.Millisecond
)

// Ports from freeAddress are below 32768, where the range begins from which Linux takes
// port 0 and the ports of outgoing connections. So the kernel gives them to no other socket
// before a process listens on them.
const (
	firstPort = 20000
	portCount = 32768 - firstPort
)

// The counter of ports begins at a random place, so that test runs at the same time seldom
// try the same ports.
var (
	portStart   = rand.Uint32N(portCount)
	portCounter atomic.Uint32
)

var serviceAddress = netip.MustParseAddrPort("10.80.0.1:7000")

// binaries builds the two programs once, and returns their directory.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lentilshed")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "github.com/lentilshed/lentilshed/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

// process is one started instance.
type process struct {
	name  string
	cmd   *exec.Cmd
	admin string
	log   *bytes.Buffer
	done  chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process as a crash would.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// cluster is a region of real processes, with stand-ins for the platform, the
// fabric, the backend servers and the callers.
type cluster struct {
	t     testing.TB
	dir   string
	store *objectstore.Server
	proxy *toxiproxy.Proxy
	// platformURL is the platform's URL through the proxy, directURL without it.
	platformURL     string
	directURL       string
	fabric          *fabric.Fabric
	balancers       map[string]*process
	agents          map[string]*process
	backends        map[string]*backend.Server
	packetAddresses map[string]netip.AddrPort
	// seeds holds the control addresses of the balancers.
	seeds []string
	// callerGroups counts the groups of callers; each group has its own
	// addresses.
	callerGroups byte
	mu           sync.Mutex
	flowResults  []caller.Result
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	_, err := binaries()
	require.NoError(t, err)
	c := &cluster{
		t:               t,
		dir:             t.TempDir(),
		store:           objectstore.New(1),
		balancers:       map[string]*process{},
		agents:          map[string]*process{},
		backends:        map[string]*backend.Server{},
		packetAddresses: map[string]netip.AddrPort{},
	}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.Close)
	c.directURL = server.URL
	c.startProxy(server.Listener.Addr().String())
	c.fabric, err = fabric.New(fabric.Config{
		Address:       "127.0.0.1:0",
		CallerDelay:   time.Millisecond,
		Seed:          1,
		KeepAliveIdle: 4 * time.Second,
	})
	require.NoError(t, err)
	t.Cleanup(c.fabric.Close)
	t.Cleanup(c.stopAll)
	return c
}

// startProxy puts the platform behind a proxy that tests can cut.
func (c *cluster) startProxy(upstream string) {
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	c.proxy = toxiproxy.NewProxy(s, "platform", freeAddress(c.t), upstream)
	require.NoError(c.t, c.proxy.Start())
	c.t.Cleanup(c.proxy.Stop)
	c.platformURL = "http://" + c.proxy.Listen
}

// addBalancer starts a balancer process and makes the fabric send packets to it.
func (c *cluster) addBalancer(name, domain string) {
	packets := freeAddress(c.t)
	control := freeAddress(c.t)
	admin := freeAddress(c.t)
	text := fmt.Sprintf("[balancer]\nname = %q\nregion = %q\nfailure_domain = %q\npacket_address = %q\n"+
		"control_address = %q\nadmin_address = %q\nbalancers = %s\nplatform = %q\n",
		name, region, domain, packets, control, admin, tomlList(c.seeds), c.platformURL)
	c.balancers[name] = c.start(name, "balancer", text, admin)
	c.seeds = append(c.seeds, control)
	c.packetAddresses[name] = netip.MustParseAddrPort(packets)
	c.updateFabric()
}

// addAgent starts a backend server, unless it runs already, and its agent.
func (c *cluster) addAgent(name, domain string) {
	b := c.backends[name]
	if b == nil {
		var err error
		b, err = backend.New(backend.Config{
			Name:      name,
			Service:   service,
			Capacity:  1000,
			ColdShare: 0.5,
			Warmup:    time.Second,
			ReportLag: 100 * time.Millisecond,
			Address:   "127.0.0.1:0",
		})
		require.NoError(c.t, err)
		c.backends[name] = b
	}
	admin := freeAddress(c.t)
	text := fmt.Sprintf("[agent]\nname = %q\nregion = %q\nfailure_domain = %q\npacket_address = %q\n"+
		"control_address = %q\nadmin_address = %q\nbalancers = %s\nservice = %q\nfabric_address = %q\n"+
		"backend_server = %q\nload_url = %q\nflow_limit = 1000\nstop_timeout = \"8s\"\n",
		name, region, domain, freeAddress(c.t), freeAddress(c.t), admin, tomlList(c.seeds), service,
		c.fabric.Address(), b.Address(), b.LoadURL())
	c.agents[name] = c.start(name, "agent", text, admin)
}

func (c *cluster) start(name, role, text, admin string) *process {
	dir, err := binaries()
	require.NoError(c.t, err)
	text += fmt.Sprintf("[trace]\none_in = 1\nfile = %q\n", c.traceFile(name))
	path := filepath.Join(c.dir, name+".toml")
	require.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	p := &process{
		name:  name,
		cmd:   exec.Command(filepath.Join(dir, "lentilshed"), role, "--config", path),
		admin: admin,
		log:   &bytes.Buffer{},
		done:  make(chan struct{}),
	}
	p.cmd.Stderr = p.log
	require.NoError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// traceFile returns the path of the file to which a process writes its spans.
func (c *cluster) traceFile(name string) string {
	return filepath.Join(c.dir, name+".spans")
}

// removeBalancer removes a balancer from those to which the fabric sends, and
// kills it.
func (c *cluster) removeBalancer(name string) {
	p := c.balancers[name]
	delete(c.balancers, name)
	c.updateFabric()
	p.kill()
}

// updateFabric sets the balancers to which the fabric sends packets.
func (c *cluster) updateFabric() {
	var l []netip.AddrPort
	for n := range c.balancers {
		l = append(l, c.packetAddresses[n])
	}
	c.fabric.SetBalancers(l)
}

func (c *cluster) stopAll() {
	for _, m := range []map[string]*process{c.agents, c.balancers} {
		for _, p := range m {
			p.signal(syscall.SIGCONT)
			p.kill()
			if c.t.Failed() {
				c.t.Logf("%s: %s", p.name, p.log.String())
			}
		}
	}
	for _, b := range c.backends {
		b.Close()
	}
}

// ctl runs lentilctl against the platform directly, without the proxy.
func (c *cluster) ctl(args ...string) (string, error) {
	dir, err := binaries()
	require.NoError(c.t, err)
	all := append([]string{"--platform", c.directURL, "--region", region, "--author", "anna"}, args...)
	cmd := exec.Command(filepath.Join(dir, "lentilctl"), all...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (c *cluster) mustCtl(args ...string) string {
	c.t.Helper()
	out, err := c.ctl(args...)
	require.NoError(c.t, err, out)
	return out
}

// declare applies the service from a directory of declarations.
func (c *cluster) declare() {
	dir := filepath.Join(c.dir, "declarations")
	require.NoError(c.t, os.MkdirAll(dir, 0o700))
	text := "[[service]]\nname = \"liedlive\"\naddress = \"10.80.0.1:7000\"\nflow_limit = 1000\ncold_share = 0.5\nwarmup = \"1s\"\n"
	require.NoError(c.t, os.WriteFile(filepath.Join(dir, "liedlive.toml"), []byte(text), 0o600))
	c.mustCtl("apply", "-f", dir)
}

// metric reads the first metric of a process whose name ends in name. It returns
// false if there is none or it cannot be read.
func (c *cluster) metric(p *process, name string) (float64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b, err := get(ctx, "http://"+p.admin+"/metrics")
	if err != nil {
		return 0, false
	}
	for _, l := range strings.Split(b, "\n") {
		head, value, ok := strings.Cut(l, "} ")
		if !ok || !strings.Contains(head, name+"{") {
			continue
		}
		var v float64
		_, err := fmt.Sscan(value, &v)
		return v, err == nil
	}
	return 0, false
}

// eventually waits for a condition, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(end) {
			require.FailNow(c.t, "condition not met within the timeout", what)
		}
		time.Sleep(pollPause)
	}
}

// awaitJoined waits until the agents have joined the service.
func (c *cluster) awaitJoined(names ...string) {
	c.t.Helper()
	for _, n := range names {
		c.eventually(n+" has joined", func() bool {
			v, ok := c.metric(c.agents[n], "joined")
			return ok && v == 1
		})
	}
}

// openFlows opens n flows and waits until all are open. They stay open until the
// callers are closed.
func (c *cluster) openFlows(n int) *caller.Callers {
	c.callerGroups++
	callers := caller.New(caller.Config{
		Dial:         c.fabric.Dial,
		Pause:        100 * time.Millisecond,
		FirstAddress: netip.AddrFrom4([4]byte{100, 64, c.callerGroups, 1}),
		Report: func(r caller.Result) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.flowResults = append(c.flowResults, r)
		},
	})
	c.t.Cleanup(callers.Close)
	for range n {
		callers.Open(service, serviceAddress, time.Hour)
		time.Sleep(time.Millisecond)
	}
	c.eventually("flows are open", func() bool { return callers.OpenFlows() == n })
	return callers
}

// failedFlows returns the results of flows that ended otherwise than by their
// callers.
func (c *cluster) failedFlows() []caller.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []caller.Result
	for _, r := range c.flowResults {
		if r.Outcome != caller.OutcomeDone {
			l = append(l, r)
		}
	}
	return l
}

func tomlList(l []string) string {
	q := make([]string, 0, len(l))
	for _, s := range l {
		q = append(q, fmt.Sprintf("%q", s))
	}
	return "[" + strings.Join(q, ", ") + "]"
}

// freeAddress returns an address on the loopback whose port is free for TCP and UDP.
// Calls return different ports until all were used.
func freeAddress(t testing.TB) string {
	t.Helper()
	var err error
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(portStart+portCounter.Add(1))%portCount)
		if err = checkFree(address); err == nil {
			return address
		}
	}
	require.NoError(t, err, "no free port")
	return ""
}

// checkFree listens on an address for a moment, with TCP and with UDP.
func checkFree(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return p.Close()
}
