// Package router stands in for the routers of the users' platform: it deals the flows
// of callers over the balancers that say that they are ready.
package router

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lentilshed/lentilshed/flow"
)

const (
	readinessPath = "/lentilshed/readiness"
	askPeriod     = 500 * time.Millisecond
	missLimit     = 2
)

// Balancer is where a balancer takes packets, and where it says that it is ready.
type Balancer struct {
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
}

// Config says which balancers there are and how flows are dealt.
type Config struct {
	Balancers []Balancer
	// ConsistentHashing moves only the flows of a balancer that joins or leaves; otherwise nearly
	// all move.
	ConsistentHashing bool
}

// Router is a running router.
type Router struct {
	config Config
	client *http.Client
	mu     sync.Mutex
	// missed counts the questions in a row that a balancer has not answered.
	missed []int
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New starts a router; balancers are in rotation once they say that they are ready.
func New(c Config) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		config: c,
		client: &http.Client{
			Timeout: askPeriod,
		},
		missed: make([]int, len(c.Balancers)),
		cancel: cancel,
	}
	for i := range c.Balancers {
		r.missed[i] = missLimit
		r.wait.Go(func() { r.ask(ctx, i) })
	}
	return r
}

// Close ends the questions.
func (r *Router) Close() {
	r.cancel()
	r.wait.Wait()
}

// Pick returns the balancer of a flow. With fewer than half in rotation all are used.
func (r *Router) Pick(t flow.Tuple) (index int, to netip.AddrPort) {
	l := r.rotation()
	i := l[t.Hash(0)%uint64(len(l))]
	if r.config.ConsistentHashing {
		best := uint64(0)
		for _, x := range l {
			if h := t.Hash(uint32(x) + 1); h >= best {
				best = h
				i = x
			}
		}
	}
	return i, r.config.Balancers[i].PacketAddress
}

// ReadyCount returns the number of balancers in rotation.
func (r *Router) ReadyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.missed {
		if m < missLimit {
			n++
		}
	}
	return n
}

func (r *Router) rotation() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in, all []int
	for i, m := range r.missed {
		all = append(all, i)
		if m < missLimit {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

func (r *Router) ask(ctx context.Context, i int) {
	t := time.NewTicker(askPeriod)
	defer t.Stop()
	for {
		ok := r.isReady(ctx, r.config.Balancers[i].ReadyAddress)
		r.mu.Lock()
		if ok {
			r.missed[i] = 0
		} else {
			r.missed[i]++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *Router) isReady(ctx context.Context, a netip.AddrPort) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+readinessPath, nil)
	if err != nil {
		return false
	}
	p, err := r.client.Do(q)
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}
