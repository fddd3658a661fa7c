package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/standin/router"
	"github.com/lentilshed/lentilshed/standin/usersbackend"
	"github.com/lentilshed/lentilshed/standin/usersstore"
)

// Services and the instances beside their backend servers.
const (
	boards  = "boards"
	layouts = "layouts"
)

var services = map[int]string{11: boards, 12: boards, 13: boards, 14: layouts, 15: layouts}

const balancers = 3

// region is a store, routers, balancers, agents and backend servers.
type region struct {
	wire      *wire
	store     *usersstore.Server
	router    *router.Router
	processes map[int]*process
	judge     *judge
	mu        sync.Mutex
	servers   map[int]*backend
	// refused are instances that the store turns away.
	refused map[int]bool
	webs    []*http.Server
	version int
	ports   []int
	cancel  context.CancelFunc
}

// backend is one life of a backend server.
type backend struct {
	*usersbackend.Server
	instance int
	service  string
	alive    bool
	// drained is when its leaving was acknowledged.
	drained time.Time
	// cold is until when the server is cold.
	cold  time.Time
	taken []time.Time
}

func newRegion(t *testing.T, network byte, seed uint64, binary, dir string) *region {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &region{
		wire:      newWire(network, seed),
		store:     usersstore.New(),
		processes: map[int]*process{},
		servers:   map[int]*backend{},
		refused:   map[int]bool{},
		ports:     []int{443},
		cancel:    cancel,
	}
	r.judge = newJudge(r)
	r.configure()
	must(t, r.openWire(ctx))
	var l []router.Balancer
	var seeds []string
	for n := 1; n <= balancers; n++ {
		l = append(l, router.Balancer{
			PacketAddress: r.wire.own(n, packetPort),
			ReadyAddress:  r.wire.own(n, readyPort),
		})
		seeds = append(seeds, fmt.Sprintf("%q", r.wire.front(n, callsPort).String()))
	}
	s := strings.Join(seeds, ",")
	for n := 1; n <= balancers; n++ {
		r.add(t, n, dir, binary, r.wire.balancerText(n, s))
	}
	for n, service := range services {
		r.add(t, n, dir, binary, r.wire.agentText(n, s, service))
		must(t, r.startServer(n, 0))
	}
	r.router = router.New(router.Config{
		Balancers:         l,
		ConsistentHashing: seed%2 == 1,
	})
	return r
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (r *region) add(t *testing.T, n int, dir, binary, text string) {
	t.Helper()
	p, err := newProcess(dir, binary, nameOf(n), text, r.judge.fault)
	must(t, err)
	must(t, p.start())
	r.processes[n] = p
}

// openWire opens the front addresses of all instances and their ways to the store.
func (r *region) openWire(ctx context.Context) error {
	for _, n := range r.instances() {
		port := packetPort
		if n < firstAgent {
			port = peerPort
			if err := r.wire.connections(ctx, r.wire.front(n, peerPort), r.wire.own(n, peerPort), -1, n); err != nil {
				return err
			}
		}
		if err := r.wire.datagrams(n, port); err != nil {
			return err
		}
		store := r.wire.at(6, n, storePort)
		if err := r.serveStore(n, store.String()); err != nil {
			return err
		}
		if err := r.wire.connections(ctx, r.wire.front(n, storePort), store, n, 0); err != nil {
			return err
		}
	}
	return nil
}

func (r *region) instances() []int {
	var l []int
	for n := 1; n <= balancers; n++ {
		l = append(l, n)
	}
	for n := firstAgent; n < firstAgent+len(services); n++ {
		l = append(l, n)
	}
	return l
}

// serveStore is the store as one instance sees it. Addresses that it writes are those
// in front of it.
func (r *region) serveStore(n int, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	own, front := fmt.Sprintf("127.%d.7.", r.wire.network), fmt.Sprintf("127.%d.8.", r.wire.network)
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		refused := r.refused[n]
		r.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if b, err := io.ReadAll(q.Body); err == nil {
			q.Body = io.NopCloser(bytes.NewReader(bytes.ReplaceAll(b, []byte(own), []byte(front))))
		}
		r.store.ServeHTTP(w, q)
	})
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Second,
	}
	r.webs = append(r.webs, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// coldRate is what a cold backend server bears, in flows a second.
const coldRate = 10

// configure writes the next version.
func (r *region) configure() {
	r.version++
	d := usersstore.Declaration{
		Version:     r.version,
		IdleTimeout: 15 * time.Second,
	}
	for i, s := range []string{boards, layouts} {
		d.Services = append(d.Services, usersstore.Service{
			Name:     s,
			ColdRate: coldRate,
		})
		for _, p := range r.ports {
			d.Routes = append(d.Routes, usersstore.Route{
				Host:    fmt.Sprintf("198.18.0.%d", i+1),
				Port:    p,
				Service: s,
			})
		}
	}
	r.store.Declare(d)
}

// startServer starts a backend server in the place of the last one.
func (r *region) startServer(n int, cold time.Duration) error {
	b := &backend{
		instance: n,
		service:  services[n],
		alive:    true,
		cold:     time.Now().Add(cold),
	}
	s, err := usersbackend.New(usersbackend.Config{
		Service:         services[n],
		Address:         r.wire.own(n, appPort),
		Outbound:        r.wire.own(n, outboundPort),
		HeartbeatURL:    "http://" + r.wire.own(n, callsPort).String(),
		RequestDuration: 20 * time.Millisecond,
		Warmup:          cold,
		Observe:         func(a usersbackend.Arrival) { r.judge.arrived(b, a) },
	})
	if err != nil {
		return err
	}
	b.Server = s
	r.mu.Lock()
	r.servers[n] = b
	r.mu.Unlock()
	return nil
}

func (r *region) server(n int) *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[n]
}

// crash ends a backend server.
func (r *region) crash(n int) {
	b := r.server(n)
	r.judge.mu.Lock()
	was := b.alive
	b.alive = false
	r.judge.mu.Unlock()
	if was {
		b.Close()
	}
}

func (r *region) close() {
	for _, p := range r.processes {
		p.signal(9)
		<-p.done
		_ = p.log.Close()
	}
	r.router.Close()
	for n := range services {
		r.crash(n)
	}
	r.wire.close()
	for _, w := range r.webs {
		_ = w.Close()
	}
	r.cancel()
}
