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

// process is one of the real programs. It may be started again after it has exited.
type process struct {
	name   string
	binary string
	config string
	log    *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	// startedAt is when the program was last started.
	startedAt time.Time
	done      chan struct{}
	// endExpected is set once the soak itself has told the process to exit.
	endExpected bool
	// addViolation records an unexpected exit.
	addViolation func(format string, a ...any)
}

func newProcess(dir, binary, name, settings string, addViolation func(string, ...any)) (*process, error) {
	p := &process{
		name:         name,
		binary:       binary,
		config:       filepath.Join(dir, name+".toml"),
		addViolation: addViolation,
	}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	l, err := os.Create(filepath.Join(dir, name+".log"))
	p.log = l
	return p, err
}

// start starts the program. An exit that the soak did not request is recorded as a
// violation.
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
	p.startedAt = time.Now()
	p.done = done
	p.endExpected = false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		expected := p.endExpected
		p.mu.Unlock()
		if !expected {
			p.addViolation("%s exited unexpectedly: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// startTime is the time within which a started program has read its settings, also beside many
// others.
const startTime = time.Second

// hasStarted reports whether the program has read its settings.
func (p *process) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) > startTime
}

// writeSettings replaces the settings file at once, so that the program never reads a part.
func (p *process) writeSettings(b []byte) error {
	next := p.config + ".next"
	if err := os.WriteFile(next, b, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.config)
}

// signal sends a signal to the running program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and waits for the exit. A failure or a late exit is recorded as a
// violation.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if s := p.cmd.ProcessState; !s.Success() {
			p.addViolation("%s exited with %s after SIGTERM", p.name, s)
		}
	case <-time.After(stopTimeout + time.Second):
		p.addViolation("%s did not stop within %s", p.name, stopTimeout)
		p.kill()
	}
}

// stopTimeout is the time that the users allow between a stop request and the exit.
const stopTimeout = 6 * time.Second

const balancerTemplate = `[passing]
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

const agentTemplate = `[passing]
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

// Ports that are the same on all instances.
const (
	packetPort   = 8172
	peerPort     = 7720
	readyPort    = 8167
	callsPort    = 8166
	metricsPort  = 9410
	outboundPort = 8162
	backendPort  = 8360
	storePort    = 8169
)

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%domainCount) }

const domainCount = 3

// balancerSettings returns the settings file of balancer n.
func (p *proxy) balancerSettings(n int, seeds string) string {
	return fmt.Sprintf(balancerTemplate, nameOf(n), domainOf(n), p.ownAddress(n, packetPort), p.ownAddress(n, peerPort),
		p.ownAddress(n, readyPort), p.ownAddress(n, metricsPort), p.frontAddress(n, storePort), seeds)
}

// agentSettings returns the settings file of agent n.
func (p *proxy) agentSettings(n int, seeds, service string) string {
	return fmt.Sprintf(agentTemplate, nameOf(n), domainOf(n), p.ownAddress(n, packetPort), p.ownAddress(n, peerPort),
		p.ownAddress(n, readyPort), p.ownAddress(n, metricsPort), p.frontAddress(n, storePort), seeds,
		p.ownAddress(n, callsPort), p.ownAddress(n, outboundPort), p.ownAddress(n, backendPort), service)
}

// firstAgent is the number of the first instance with an agent.
const firstAgent = 11

func nameOf(n int) string {
	if n < firstAgent {
		return fmt.Sprintf("balancer-%d", n)
	}
	return fmt.Sprintf("agent-%d", n)
}
