package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one of the real programs, started again whenever it has ended.
type process struct {
	name   string
	binary string
	config string
	log    *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	// expected is set while the soak itself ends the process.
	expected bool
	// fault takes what must not happen.
	fault func(format string, a ...any)
}

func newProcess(dir, binary, name, settings string, fault func(string, ...any)) (*process, error) {
	p := &process{
		name:   name,
		binary: binary,
		config: filepath.Join(dir, name+".toml"),
		fault:  fault,
	}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	l, err := os.Create(filepath.Join(dir, name+".log"))
	p.log = l
	return p, err
}

// start runs the program. It reports an end that nobody asked for.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.binary, "serve", "--config", p.config)
	c.Stdout = p.log
	c.Stderr = p.log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd = c
	p.done = done
	p.expected = false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected {
			p.fault("%s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the running program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	_ = p.cmd.Process.Signal(s)
}

// kill ends the program at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the program to end, and reports one that does not in time or fails.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if s := p.cmd.ProcessState; !s.Success() {
			p.fault("%s ended with %s after a request to stop", p.name, s)
		}
	case <-time.After(grace + time.Second):
		p.fault("%s did not stop within %s", p.name, grace)
		p.kill()
	}
}

// grace is the users' time between the request to stop and the end.
const grace = 6 * time.Second

const balancerSettings = `[passing]
role = "balancer"
name = "%s"
region = "r"
failure_domain = "%s"
packet_address = "%s"
peer_address = "%s"
ready_address = "%s"
metrics_address = "%s"
platform = "%s"
seeds = [%s]
stop_timeout = "6s"
[log]
level = "info"
`

const agentSettings = `[passing]
role = "agent"
name = "%s"
region = "r"
failure_domain = "%s"
packet_address = "%s"
peer_address = "%s"
ready_address = "%s"
metrics_address = "%s"
platform = "%s"
seeds = [%s]
stop_timeout = "6s"
calls_address = "%s"
outbound_address = "%s"
backend_server = "%s"
service = "%s"
[log]
level = "info"
`

// Ports are the same on all instances.
const (
	packetPort   = 8172
	peerPort     = 7720
	readyPort    = 8167
	callsPort    = 8166
	metricsPort  = 9410
	outboundPort = 8162
	appPort      = 8360
	storePort    = 8169
)

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

const domains = 3

// balancerText and agentText are the settings of instance n.
func (w *wire) balancerText(n int, seeds string) string {
	return fmt.Sprintf(balancerSettings, nameOf(n), domainOf(n), w.own(n, packetPort), w.own(n, peerPort),
		w.own(n, readyPort), w.own(n, metricsPort), w.front(n, storePort), seeds)
}

func (w *wire) agentText(n int, seeds, service string) string {
	return fmt.Sprintf(agentSettings, nameOf(n), domainOf(n), w.own(n, packetPort), w.own(n, peerPort),
		w.own(n, readyPort), w.own(n, metricsPort), w.front(n, storePort), seeds,
		w.own(n, callsPort), w.own(n, outboundPort), w.own(n, appPort), service)
}

// firstAgent is the number of the first instance with an agent.
const firstAgent = 11

func nameOf(n int) string {
	if n < firstAgent {
		return fmt.Sprintf("balancer-%d", n)
	}
	return fmt.Sprintf("agent-%d", n)
}
