// Package router is a stand-in for the routers of the users' platform: it distributes
// the flows of callers over the balancers that are ready.
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
	probeInterval = 500 * time.Millisecond
	missedLimit   = 2
)

// Balancer has the addresses at which a balancer receives packets and reports its
// readiness.
type Balancer struct {
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
}

// Config lists the balancers and chooses how flows are distributed over them.
type Config struct {
	Balancers []Balancer
	// ConsistentHashing uses rendezvous hashing, which moves only the flows of a
	// balancer that joins or leaves. The modulo hash used otherwise moves most flows.
	ConsistentHashing bool
}

// Router is a running router.
type Router struct {
	config Config
	client *http.Client
	mu     sync.Mutex
	// missed counts the consecutive failed readiness probes of each balancer.
	missed []int
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New starts a router. A balancer is in rotation once it has reported that it is
// ready, until missedLimit probes in a row fail.
func New(c Config) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		config: c,
		client: &http.Client{
			Timeout: probeInterval,
		},
		missed: make([]int, len(c.Balancers)),
		cancel: cancel,
	}
	for i := range c.Balancers {
		r.missed[i] = missedLimit
		r.wait.Go(func() { r.probe(ctx, i) })
	}
	return r
}

// Close stops the readiness probes.
func (r *Router) Close() {
	r.cancel()
	r.wait.Wait()
}

// Pick returns the balancer of a flow. If fewer than half are in rotation, all are
// used.
func (r *Router) Pick(t flow.Tuple) (index int, to netip.AddrPort) {
	candidates := r.candidates()
	chosen := candidates[t.Hash(0)%uint64(len(candidates))]
	if r.config.ConsistentHashing {
		best := uint64(0)
		for _, candidate := range candidates {
			if h := t.Hash(uint32(candidate) + 1); h >= best {
				best = h
				chosen = candidate
			}
		}
	}
	return chosen, r.config.Balancers[chosen].PacketAddress
}

// ReadyCount returns the number of balancers in rotation.
func (r *Router) ReadyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.missed {
		if m < missedLimit {
			n++
		}
	}
	return n
}

func (r *Router) candidates() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in, all []int
	for i, m := range r.missed {
		all = append(all, i)
		if m < missedLimit {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

func (r *Router) probe(ctx context.Context, i int) {
	t := time.NewTicker(probeInterval)
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
