// Package caller is a stand-in for the callers: it opens flows, sends lines on
// them and checks every answer.
package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is how a flow ended.
type Outcome uint8

const (
	// OutcomeDone is a flow that the caller closed.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused is a flow that was refused at once.
	OutcomeRefused
	// OutcomeUnanswered is a flow that nobody answered.
	OutcomeUnanswered
	// OutcomeReset is an open flow that was reset or closed by the other side.
	OutcomeReset
	// OutcomeSilent is an open flow that stopped answering.
	OutcomeSilent
	// OutcomeWrong is a flow that gave an answer of another service or flow.
	OutcomeWrong
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "refused", "not answered", "reset", "silent", "wrong answer"}[o]
}

const (
	dialTimeout = 4 * time.Second
	// answerTimeout is above what TCP takes to repeat a packet that was lost
	// several times in a row: two stacks alone need over 6 s for some flows when
	// one packet in 33 is lost.
	answerTimeout = 15 * time.Second
	refusedWithin = 3 * time.Second
)

// Result is what became of one flow.
type Result struct {
	Service string
	Source  netip.AddrPort
	// Target is the target that answered, empty before the first answer.
	Target  string
	Outcome Outcome
	Opened  time.Time
	Ended   time.Time
	Lines   int
}

// Config says how callers behave.
type Config struct {
	Dial func(ctx context.Context, from, to netip.AddrPort) (net.Conn, error)
	// Pause is the time between two lines of a flow.
	Pause time.Duration
	// Report is called at the end of each flow.
	Report func(Result)
	// FirstAddress is the source address of the first flow; each takes another port.
	FirstAddress netip.Addr
}

// Callers opens flows. It is safe for concurrent use.
type Callers struct {
	config Config
	next   atomic.Uint32
	open   atomic.Int64
	wait   sync.WaitGroup
	ctx    context.Context //nolint:containedctx // It ends with the callers.
	cancel context.CancelFunc
}

// New returns callers without flows.
func New(c Config) *Callers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Callers{
		config: c,
		ctx:    ctx,
		cancel: cancel,
	}
}

// Open starts one flow that lives for a time.
func (c *Callers) Open(service string, to netip.AddrPort, life time.Duration) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		e := c.run(service, to, life)
		e.Ended = time.Now()
		if c.ctx.Err() == nil || e.Outcome != OutcomeDone {
			c.config.Report(e)
		}
	}()
}

// OpenFlows returns the number of flows that have been answered and not ended.
func (c *Callers) OpenFlows() int {
	return int(c.open.Load())
}

// Close ends all flows as their callers would and waits for them.
func (c *Callers) Close() {
	c.cancel()
	c.wait.Wait()
}

// source gives every flow its own address and port.
func (c *Callers) source(n uint32) netip.AddrPort {
	const ports = 40_000
	a := c.config.FirstAddress
	for range n / ports {
		a = a.Next()
	}
	return netip.AddrPortFrom(a, uint16(20_000+n%ports))
}

func (c *Callers) run(service string, to netip.AddrPort, life time.Duration) Result {
	e := Result{
		Service: service,
		Opened:  time.Now(),
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	id := c.next.Add(1)
	e.Source = c.source(id)
	n, err := c.config.Dial(ctx, e.Source, to)
	if err != nil {
		e.Outcome = dialOutcome(c.ctx, e.Opened)
		return e
	}
	defer func() { _ = n.Close() }()
	c.open.Add(1)
	defer c.open.Add(-1)
	f := conversation{
		conn:    n,
		reader:  bufio.NewReaderSize(n, 256),
		service: service,
		id:      id,
	}
	end := time.Now().Add(life)
	for c.ctx.Err() == nil && time.Now().Before(end) {
		if e.Outcome = f.exchange(&e); e.Outcome != 0 {
			return e
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(c.config.Pause):
		}
	}
	e.Outcome = OutcomeDone
	return e
}

func dialOutcome(ctx context.Context, opened time.Time) Outcome {
	switch {
	case ctx.Err() != nil:
		return OutcomeDone
	case time.Since(opened) < refusedWithin:
		return OutcomeRefused
	}
	return OutcomeUnanswered
}

// conversation is the lines of one flow.
type conversation struct {
	conn    net.Conn
	reader  *bufio.Reader
	service string
	id      uint32
	lines   int
}

// exchange sends one line and checks the answer; zero means that it was right.
func (f *conversation) exchange(e *Result) Outcome {
	f.lines++
	line := fmt.Sprintf("%d.%d", f.id, f.lines)
	_ = f.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(f.conn, "%s\n", line); err != nil {
		return lostOutcome(err)
	}
	a, err := f.reader.ReadString('\n')
	if err != nil {
		return lostOutcome(err)
	}
	from, rest, _ := strings.Cut(strings.TrimSuffix(a, "\n"), " ")
	service, target, _ := strings.Cut(from, "/")
	if service != f.service || rest != line {
		return OutcomeWrong
	}
	e.Target = target
	e.Lines = f.lines
	return 0
}

func lostOutcome(err error) Outcome {
	if n, ok := err.(net.Error); ok && n.Timeout() { //nolint:errorlint // The stack returns it bare.
		return OutcomeSilent
	}
	return OutcomeReset
}
