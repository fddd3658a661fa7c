// Command standin runs one case of the review: it starts the project's own programs, with
// stand-ins for the platform, targets and clients around them, and checks what clients and
// targets see.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that all machines have in common.
type ports struct {
	Packets, Ready, Control, Outbound, Internal, App int
}

// machine is one machine of the deployment, with an address of its own.
type machine struct {
	Name, Role, Class, IP, Zone, Seeds, Service, Platform string
	Ports                                                 ports

	process *exec.Cmd
	ended   chan struct{}
	target  *target
}

func (m *machine) udp(port int) *net.UDPAddr {
	return &net.UDPAddr{
		IP:   net.ParseIP(m.IP),
		Port: port,
	}
}

var (
	started   = time.Now()
	record    *os.File
	recordMu  sync.Mutex
	folder    string
	processMu sync.Mutex
	processes []*machine
	// trouble is false for the run without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

func logf(format string, a ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		_, _ = fmt.Fprintf(record, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, a...))
	}
}

// fail ends a run that cannot be judged.
func fail(format string, a ...any) {
	logf("cannot run: "+format, a...)
	_, _ = fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", a...)
	stopAll()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// deployment is a small deployment in two zones, with one service.
type deployment struct {
	store  *store
	fronts []*machine
	sides  []*machine
	spare  *machine
	client *client
	router *router
}

const serviceName = "liedlive"

// loopback returns an address of this run. Runs at the same time have different ones.
func loopback(network, host int) string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+p%128, p/128%80*3+network, host)
}

// The networks of a run.
const (
	machineNetwork = iota
	storeNetwork
	clientNetwork
)

// freePorts returns ports that are free on all addresses of the run.
func freePorts(ips []string) ports {
	var l []int
	for p := 20000 + os.Getpid()%20000; len(l) < 6 && p < 60000; p++ {
		if portIsFree(p, ips) {
			l = append(l, p)
		}
	}
	if len(l) < 6 {
		fail("no free ports")
	}
	return ports{
		Packets:  l[0],
		Ready:    l[1],
		Control:  l[2],
		Outbound: l[3],
		Internal: l[4],
		App:      l[5],
	}
}

func portIsFree(port int, ips []string) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// newDeployment starts the store and describes the machines: fronts in one zone, and sides
// in two.
func newDeployment(fronts, sides int) *deployment {
	var ips []string
	for i := 1; i <= 40; i++ {
		ips = append(ips, loopback(machineNetwork, i))
	}
	p := freePorts(ips)
	d := &deployment{
		store: newStore(loopback(storeNetwork, 1)),
	}
	var seeds []string
	for i := range min(fronts, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], p.Control))
	}
	zones := []string{"muenchen-a", "muenchen-b"}
	for i := range fronts {
		d.fronts = append(d.fronts, &machine{
			Name:  fmt.Sprintf("front-%d", i+1),
			Role:  "balancer",
			Class: "front",
			IP:    ips[i],
			Zone:  zones[0],
		})
	}
	for i := range sides + 1 {
		d.sides = append(d.sides, &machine{
			Name:    fmt.Sprintf("side-%d", i+1),
			Role:    "agent",
			Class:   "side",
			IP:      ips[10+i],
			Zone:    zones[i%2],
			Service: serviceName,
		})
	}
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		m.Seeds = strings.Join(seeds, ",")
		m.Platform = d.store.address
		m.Ports = p
	}
	d.spare = d.sides[sides]
	d.sides = d.sides[:sides]
	d.router = startRouter(d.fronts)
	d.client = startClient(loopback(clientNetwork, 1), p.Packets, d.router)
	d.declare(3, idleTimeout)
	return d
}

// idleTimeout is the idle timeout that the operator declares.
const idleTimeout = 15 * time.Second

// declare writes a configuration as the operator does.
func (d *deployment) declare(version int, idle time.Duration) {
	d.store.put("config", "main", render("config.json", map[string]any{
		"Version": version,
		"Host":    dotted(routeHost),
		"Port":    routePort,
		"Service": serviceName,
		"Idle":    idle.Milliseconds(),
	}))
	logf("planned: version %d of the configuration is acknowledged, idle timeout %v", version, idle)
}

// start starts the whole deployment and waits until it serves.
func (d *deployment) start() {
	for _, m := range d.fronts {
		m.start()
	}
	for _, m := range d.sides {
		m.start()
		m.target = startTarget(m)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if f := d.client.openFlow(nil); f != nil && f.request() {
			break
		}
		if time.Now().After(end) {
			fail("the deployment does not serve")
		}
	}
	time.Sleep(4 * time.Second)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	settings := filepath.Join(folder, m.Name+".toml")
	check(os.WriteFile(settings, []byte(fillTemplate("deploy/"+m.Role+".toml", render("settings.txt", m))), 0o600))
	output, err := os.OpenFile(filepath.Join(folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.process = exec.Command("target/lentilshed", "serve")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, names["boot"] + "=" + settings}
	m.process.Stdout = output
	m.process.Stderr = output
	m.process.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	starts <- m.process
	check(<-startErrors)
	_ = output.Close()
	ended := make(chan struct{})
	m.ended = ended
	c := m.process
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	processMu.Lock()
	processes = append(processes, m)
	processMu.Unlock()
	logf("process of %s starts", m.Name)
}

var (
	starts      = make(chan *exec.Cmd)
	startErrors = make(chan error)
)

// startProcesses starts processes from one thread that lives as long as this program, so
// that they end with it, also if it crashes.
func startProcesses() {
	runtime.LockOSThread()
	for c := range starts {
		startErrors <- c.Start()
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after six seconds.
func (m *machine) stop() {
	logf("process of %s gets SIGTERM", m.Name)
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(6 * time.Second):
		_ = m.process.Process.Kill()
		<-m.ended
	}
	logf("process of %s has ended", m.Name)
}

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 500 * time.Millisecond

// roll stops and starts machines in turn.
func roll(l ...*machine) {
	for _, m := range l {
		m.stop()
		time.Sleep(restartDelay)
		m.start()
		time.Sleep(1500 * time.Millisecond)
	}
}

func stopAll() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, m := range processes {
		select {
		case <-m.ended:
		default:
			_ = m.process.Process.Kill()
			<-m.ended
		}
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	var err error
	record, err = os.Create(os.Args[2])
	check(err)
	folder, err = os.MkdirTemp("", "review")
	check(err)
	if os.Getenv("KEEP") != "" {
		_, _ = fmt.Fprintln(os.Stderr, folder)
	}
	time.AfterFunc(115*time.Second, func() { fail("out of time") })
	go startProcesses()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { fail("%v", <-signals) }()
	logf("case %s, disruption: %t", os.Args[1], trouble)
	cases[os.Args[1]]()
	judge.exit()
}
