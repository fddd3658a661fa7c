package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	redialBase = 50 * time.Millisecond
	redialMax  = 2 * time.Second
)

// Dialer keeps one connection to each address of a changing set.
type Dialer struct {
	handler Handler
	mu      sync.Mutex
	links   map[string]*link
	wait    sync.WaitGroup
}

// link is one address that the dialer keeps a connection to.
type link struct {
	cancel context.CancelFunc
	conn   *Conn
}

// NewDialer returns a dialer without addresses.
func NewDialer(h Handler) *Dialer {
	return &Dialer{
		handler: h,
		links:   map[string]*link{},
	}
}

// SetAddresses replaces the addresses. Connections to addresses that stay are kept.
func (d *Dialer) SetAddresses(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if d.links[a] == nil {
			d.start(a)
		}
	}
	for a, l := range d.links {
		if !wanted[a] {
			l.stop()
			delete(d.links, a)
		}
	}
}

// Close cuts all connections and waits for their readers.
func (d *Dialer) Close() {
	d.SetAddresses(nil)
	d.wait.Wait()
}

func (d *Dialer) start(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		cancel: cancel,
	}
	d.links[address] = l
	d.wait.Add(1)
	go d.keep(ctx, address, l)
}

// keep dials until the link is stopped, with growing jittered pauses.
func (d *Dialer) keep(ctx context.Context, address string, l *link) {
	defer d.wait.Done()
	for failures := 0; ctx.Err() == nil; failures++ {
		c, err := dial(address, d.handler)
		if err == nil && d.attach(ctx, l, c) {
			started := time.Now()
			_ = c.serve(d.handler)
			if time.Since(started) > redialMax {
				failures = 0
			}
		}
		top := min(redialBase<<min(failures, 6), redialMax)
		select {
		case <-ctx.Done():
		case <-time.After(redialBase/2 + rand.N(top)):
		}
	}
}

func (d *Dialer) attach(ctx context.Context, l *link, c *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		c.Close()
		return false
	}
	l.conn = c
	return true
}

func (l *link) stop() {
	l.cancel()
	if l.conn != nil {
		l.conn.Close()
	}
}
