package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, which are the same on all machines.
const (
	packetPort   = 8172
	peerPort     = 7720
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	storePort    = 8169
	appPort      = 8360
)

const contracts = "base,drain,config,cost,recover,flows,places,platform"

// machine is one machine with a process of the system, and its target if it is a side machine.
type machine struct {
	name, zone, service string
	index               byte
	cmd                 *exec.Cmd
	done                chan struct{}
	settings            string
	target              *target
	// later is set for a machine that is added during the run, and removed for one that was lost.
	later, removed bool
}

func (m *machine) front() bool { return m.service == "" }

// cluster is a small deployment on loopback addresses.
type cluster struct {
	repo, dir string
	rec       *record
	proxy     *proxy
	store     *store
	router    *router
	machines  []*machine
	clients   []*client
	logs      *os.File
	// work is the time that a request takes at a target.
	work     time.Duration
	stopping sync.Mutex
}

type spec struct{ name, zone, service string }

// freeNetwork returns the second octet of a loopback network whose ports are free.
func freeNetwork() (byte, error) {
	for range 50 {
		n := byte(10 + rand.IntN(200))
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.7.1:%d", n, readyPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return 0, errors.New("no free loopback network")
}

func newCluster(repo string, rec *record, specs []spec) (*cluster, error) {
	n, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{repo: repo, dir: dir, rec: rec, work: 20 * time.Millisecond}
	c.proxy = &proxy{network: n, sockets: map[netip.AddrPort]*net.UDPConn{}, zones: map[byte]string{}}
	own, known := fmt.Sprintf("127.%d.7.", n), fmt.Sprintf("127.%d.8.", n)
	c.store, err = newStore(c.storeAddress(), func(s string) string { return strings.ReplaceAll(s, own, known) })
	if err != nil {
		return nil, err
	}
	if c.logs, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	var routedNodes []*routed
	for i, s := range specs {
		m := &machine{name: s.name, zone: s.zone, service: s.service, index: byte(i + 1)}
		c.machines = append(c.machines, m)
		c.proxy.zones[m.index] = m.zone
		if m.front() {
			routedNodes = append(routedNodes, &routed{
				name:    m.name,
				zone:    m.zone,
				packets: c.proxy.own(m.index, packetPort),
				ready:   c.proxy.own(m.index, readyPort).String(),
			})
			err = c.proxy.serve(m.index, peerPort, true)
		} else {
			err = c.proxy.serve(m.index, packetPort, false)
		}
		if err != nil {
			return nil, err
		}
	}
	if c.router, err = newRouter(routedNodes); err != nil {
		return nil, err
	}
	go c.stopEarly()
	return c, nil
}

func (c *cluster) storeAddress() string {
	return fmt.Sprintf("127.%d.6.1:%d", c.proxy.network, storePort)
}

func (c *cluster) machine(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// render fills in a template of the deploy file as the platform does.
func (c *cluster) render(m *machine) (string, error) {
	path := "deploy/agent.toml"
	if m.front() {
		path = "deploy/balancer.toml"
	}
	text, err := os.ReadFile(filepath.Join(c.repo, path))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, x := range c.machines {
		if x.front() && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", c.proxy.known(x.index, controlPort)))
		}
	}
	values := map[string]string{
		"node_name":              m.name,
		"region":                 "bayern",
		"zone":                   m.zone,
		"ip_addr":                c.proxy.own(m.index, 0).Addr().String(),
		"internal_ports.0":       fmt.Sprint(peerPort),
		wire("packets"):          c.proxy.own(m.index, packetPort).String(),
		wire("ready"):            c.proxy.own(m.index, readyPort).String(),
		wire("control"):          c.proxy.own(m.index, controlPort).String(),
		wire("outbound"):         c.proxy.own(m.index, outboundPort).String(),
		"platform.address":       c.storeAddress(),
		"seeds|json":             "[" + strings.Join(seeds, ",") + "]",
		"service":                m.service,
		"app":                    c.proxy.own(m.index, appPort).String(),
		"bounds.grace_s":         "6",
		"bounds.config_apply_ms": "3000",
		"bounds.evacuation_ms":   "5000",
		"bounds.stability_ms":    "4000",
	}
	missing := ""
	out := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(text), func(s string) string {
		v, ok := values[s[2:len(s)-2]]
		if !ok {
			missing = s
		}
		return v
	})
	if missing != "" {
		return "", fmt.Errorf("%s: %s is not known here", path, missing)
	}
	return out, nil
}

// startProcess starts the process of a machine with the command of the deploy file.
func (c *cluster) startProcess(m *machine) error {
	text, err := c.render(m)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(c.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(c.repo, "target/lentilshed"), "serve", "--contracts="+contracts)
	m.cmd.Dir = c.repo
	m.cmd.Env = append(os.Environ(), "LENTILSHED_BOOT="+m.settings)
	m.cmd.Stdout = c.logs
	m.cmd.Stderr = c.logs
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, done := m.cmd, make(chan struct{})
	m.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.rec.add("process of %s starts", m.name)
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (c *cluster) kill(m *machine) {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
	c.rec.add("process of %s is killed", m.name)
}

// remove takes a side machine away for good, without a word.
func (c *cluster) remove(m *machine) {
	m.removed = true
	m.target.crash()
	c.kill(m)
	c.rec.add("machine %s is lost for good", m.name)
}

// terminate stops the process of a machine as the platform does.
func (c *cluster) terminate(m *machine) {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(6 * time.Second):
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.done
	}
	c.rec.add("process of %s was stopped with SIGTERM", m.name)
}

// alive reports whether no process has ended by itself.
func (c *cluster) alive() bool {
	for _, m := range c.machines {
		if m.removed || m.cmd == nil {
			continue
		}
		select {
		case <-m.done:
			return false
		default:
		}
	}
	return true
}

// startMachine starts the process of a machine, and its target if it is a side machine.
func (c *cluster) startMachine(m *machine) error {
	if err := c.startProcess(m); err != nil || m.front() {
		return err
	}
	m.target = c.newTarget(m, fmt.Sprintf("i-%04d", m.index))
	return m.target.start()
}

// newTarget returns the target beside a machine.
func (c *cluster) newTarget(m *machine, id string) *target {
	return newTarget(targetConfig{
		id:            id,
		service:       m.service,
		zone:          m.zone,
		app:           c.proxy.own(m.index, appPort),
		outbound:      c.proxy.own(m.index, outboundPort),
		control:       c.proxy.own(m.index, controlPort),
		slots:         5,
		work:          c.work,
		firstSequence: 1,
	}, c.rec)
}

// start starts all processes and targets, and waits until all fronts are in rotation and all
// targets registered.
func (c *cluster) start() error {
	fronts, sides := 0, 0
	for _, m := range c.machines {
		if m.later {
			continue
		}
		if err := c.startMachine(m); err != nil {
			return err
		}
		if m.front() {
			fronts++
		} else {
			sides++
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.router.ready() == fronts && len(c.store.names("lentilshed-agents")) == sides {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errors.New("the deployment did not become ready")
}

func (c *cluster) newClient(name, zone string) (*client, error) {
	a := netip.AddrFrom4([4]byte{127, c.proxy.network, 9, byte(len(c.clients) + 1)})
	x, err := newClient(name, zone, a, packetPort, c.router, c.rec)
	if err == nil {
		c.clients = append(c.clients, x)
	}
	return x, err
}

// maxTime bounds the run of a case.
const maxTime = 110 * time.Second

// stopEarly ends the case when it is told to stop or takes too long.
func (c *cluster) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	c.stop()
	os.Exit(exitFailed)
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	c.stopping.Lock()
	defer c.stopping.Unlock()
	for _, m := range c.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.done
		}
		if m.target != nil {
			m.target.crash()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// route is one entry of the configuration.
type route struct {
	name, host, service string
	port                int
}

// configure writes a version of the configuration and returns once it is acknowledged.
func (c *cluster) configure(version int, routes []route) {
	var l, services []any
	seen := map[string]bool{}
	for _, r := range routes {
		l = append(l, map[string]any{
			"name": r.name, "host": r.host, wire("port"): fmt.Sprintf("/%d/", r.port), "type": "idempotent",
			"timeout_ms": 1500, "objective_ms": 150, "priority": 2, "service": r.service, "max_attempts": 2,
		})
	}
	for _, m := range c.machines {
		if m.front() || seen[m.service] {
			continue
		}
		seen[m.service] = true
		services = append(services, map[string]any{
			"name": m.service, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"warmup_s": 2.0, "warmup_per_s": 0.0,
		})
	}
	c.store.write("config", "main", map[string]any{
		"version": version, "routes": l, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.rec.add("configuration %d is acknowledged: %v", version, routes)
}
