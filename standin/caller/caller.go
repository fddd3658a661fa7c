// Package caller is a stand-in for callers: it opens flows, sends lines on them and
// checks every answer.
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
	// OutcomeDone is a flow that the caller closed, or gave up in Close before it was
	// open.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused is a flow whose connection attempt failed within refusedWithin.
	OutcomeRefused
	// OutcomeUnanswered is a flow whose connection attempt failed after refusedWithin.
	OutcomeUnanswered
	// OutcomeReset is an open flow that was reset or closed by the other side.
	OutcomeReset
	// OutcomeSilent is an open flow on which an answer timed out.
	OutcomeSilent
	// OutcomeWrong is a flow on which an answer of another service or to another line
	// arrived.
	OutcomeWrong
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "refused", "not answered", "reset", "silent", "wrong answer"}[o]
}

const (
	dialTimeout = 4 * time.Second
	// answerTimeout allows for TCP to retransmit a packet that is lost several times
	// in a row: when one packet in 33 is lost, two stacks without a balancer between
	// them need over 6 s for some flows.
	answerTimeout = 15 * time.Second
	// refusedWithin is the time after which a failed connection attempt counts as
	// unanswered instead of refused.
	refusedWithin = 3 * time.Second
)

// Result describes a flow that has ended.
type Result struct {
	Service string
	Source  netip.AddrPort
	// Target is the target that sent the last correct answer, empty if there was none.
	Target  string
	Outcome Outcome
	Opened  time.Time
	Ended   time.Time
	// Lines counts the lines that were answered correctly.
	Lines int
}

// Config configures callers.
type Config struct {
	// Dial opens a connection from a source address.
	Dial func(ctx context.Context, from, to netip.AddrPort) (net.Conn, error)
	// Pause is the time between an answer and the next line of a flow.
	Pause time.Duration
	// Report is called at the end of each flow, except for flows that Close ended
	// normally. Calls may be concurrent.
	Report func(Result)
	// FirstAddress is the source address of the first flows. Each flow has its own
	// port; later flows use the following addresses once the ports are used up.
	FirstAddress netip.Addr
}

// Callers opens flows. It is safe for concurrent use.
type Callers struct {
	config    Config
	lastID    atomic.Uint32
	openFlows atomic.Int64
	wait      sync.WaitGroup
	ctx       context.Context //nolint:containedctx // Close cancels it.
	cancel    context.CancelFunc
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

// Open starts one flow that the caller closes after a duration.
func (c *Callers) Open(service string, to netip.AddrPort, duration time.Duration) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		r := c.run(service, to, duration)
		r.Ended = time.Now()
		if c.ctx.Err() == nil || r.Outcome != OutcomeDone {
			c.config.Report(r)
		}
	}()
}

// OpenFlows returns the number of flows that are connected and have not ended.
func (c *Callers) OpenFlows() int {
	return int(c.openFlows.Load())
}

// Close closes all flows from the callers' side and waits until they have ended.
func (c *Callers) Close() {
	c.cancel()
	c.wait.Wait()
}

// source returns the address and port of the n-th flow, different for every flow.
func (c *Callers) source(n uint32) netip.AddrPort {
	const ports = 40_000
	a := c.config.FirstAddress
	for range n / ports {
		a = a.Next()
	}
	return netip.AddrPortFrom(a, uint16(20_000+n%ports))
}

func (c *Callers) run(service string, to netip.AddrPort, duration time.Duration) Result {
	r := Result{
		Service: service,
		Opened:  time.Now(),
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	id := c.lastID.Add(1)
	r.Source = c.source(id)
	conn, err := c.config.Dial(ctx, r.Source, to)
	if err != nil {
		r.Outcome = dialOutcome(c.ctx, r.Opened)
		return r
	}
	defer func() { _ = conn.Close() }()
	c.openFlows.Add(1)
	defer c.openFlows.Add(-1)
	f := conversation{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, 256),
		service: service,
		id:      id,
	}
	end := time.Now().Add(duration)
	for c.ctx.Err() == nil && time.Now().Before(end) {
		if r.Outcome = f.exchange(&r); r.Outcome != 0 {
			return r
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(c.config.Pause):
		}
	}
	r.Outcome = OutcomeDone
	return r
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

// conversation is the exchange of lines on one flow.
type conversation struct {
	conn    net.Conn
	reader  *bufio.Reader
	service string
	id      uint32
	lines   int
}

// exchange sends one line and checks the answer. It returns 0 if the answer is
// correct.
func (f *conversation) exchange(r *Result) Outcome {
	f.lines++
	line := fmt.Sprintf("%d.%d", f.id, f.lines)
	_ = f.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(f.conn, "%s\n", line); err != nil {
		return errorOutcome(err)
	}
	a, err := f.reader.ReadString('\n')
	if err != nil {
		return errorOutcome(err)
	}
	from, rest, _ := strings.Cut(strings.TrimSuffix(a, "\n"), " ")
	service, target, _ := strings.Cut(from, "/")
	if service != f.service || rest != line {
		return OutcomeWrong
	}
	r.Target = target
	r.Lines = f.lines
	return 0
}

func errorOutcome(err error) Outcome {
	if n, ok := err.(net.Error); ok && n.Timeout() { //nolint:errorlint // The stack returns it unwrapped.
		return OutcomeSilent
	}
	return OutcomeReset
}
