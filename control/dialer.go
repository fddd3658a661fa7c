package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Dialer keeps one connection open to each address of a changing set.
type Dialer struct {
	handler      Handler
	mu           sync.Mutex
	destinations map[string]*destination
	closed       bool
	wait         sync.WaitGroup
}

// destination is the state of one address that the dialer keeps a connection to.
type destination struct {
	cancel context.CancelFunc
	conn   *Conn
}

// NewDialer returns a dialer without addresses.
func NewDialer(h Handler) *Dialer {
	return &Dialer{
		handler:      h,
		destinations: map[string]*destination{},
	}
}

// SetAddresses replaces the set of addresses. Connections to addresses that remain
// in the set are kept. A closed dialer ignores the call.
func (d *Dialer) SetAddresses(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.setAddresses(addresses)
	}
}

func (d *Dialer) setAddresses(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if d.destinations[a] == nil {
			d.start(a)
		}
	}
	for a, dest := range d.destinations {
		if !wanted[a] {
			dest.stop()
			delete(d.destinations, a)
		}
	}
}

// Close closes all connections and waits for the goroutines that dial and serve them.
// The owner may call SetAddresses at the same time and later.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.setAddresses(nil)
	d.mu.Unlock()
	d.wait.Wait()
}

func (d *Dialer) start(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	dest := &destination{
		cancel: cancel,
	}
	d.destinations[address] = dest
	d.wait.Add(1)
	go d.run(ctx, address, dest)
}

// run dials an address until the destination is stopped, with growing jittered delays
// between the attempts.
func (d *Dialer) run(ctx context.Context, address string, dest *destination) {
	defer d.wait.Done()
	for failures := 0; ctx.Err() == nil; failures++ {
		c, err := dial(address, d.handler)
		if err == nil && d.attach(ctx, dest, c) {
			started := time.Now()
			_ = c.serve(d.handler)
			if time.Since(started) > maxRedialDelay {
				failures = 0
			}
		}
		maxJitter := min(minRedialDelay<<min(failures, 6), maxRedialDelay)
		select {
		case <-ctx.Done():
		case <-time.After(minRedialDelay/2 + rand.N(maxJitter)):
		}
	}
}

func (d *Dialer) attach(ctx context.Context, dest *destination, c *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		c.Close()
		return false
	}
	dest.conn = c
	return true
}

func (d *destination) stop() {
	d.cancel()
	if d.conn != nil {
		d.conn.Close()
	}
}
