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

// Names of the services.
const (
	boards  = "boards"
	layouts = "layouts"
)

// serviceNames are in the order of the addresses, from firstServiceAddress.
var serviceNames = []string{boards, layouts}

// services maps the number of each agent's instance to the service of its backend server.
// TestMain fills it.
var services = map[int]string{}

// assignServices assigns three of five agents to one service and the others to the other one.
func assignServices(agents int) {
	for i := range agents {
		services[firstAgent+i] = boards
		if 5*i >= 3*agents {
			services[firstAgent+i] = layouts
		}
	}
}

// region consists of a store, a router, balancers, agents and backend servers.
type region struct {
	proxy     *proxy
	store     *usersstore.Server
	router    *router.Router
	processes map[int]*process
	verifier  *verifier
	mu        sync.Mutex
	servers   map[int]*backend
	// storeRefused holds the instances that get status 503 from the store.
	storeRefused   map[int]bool
	storeFrontends []*http.Server
	// configMu guards the declared configuration.
	configMu      sync.Mutex
	configVersion int
	routePorts    []int
	idleTimeout   time.Duration
	cancel        context.CancelFunc
	// loadAware is set for the seeds that run with the contract "health".
	loadAware bool
}

// backend is one incarnation of a backend server.
type backend struct {
	*usersbackend.Server
	instance int
	service  string
	running  bool
	// startedAt is when the server was started, and failedUntil when it last failed requests;
	// the latter is in the future while it does.
	startedAt, failedUntil time.Time
	// drainedAt is when its drain was acknowledged; zero before.
	drainedAt time.Time
	// coldUntil is when the server stops being cold.
	coldUntil time.Time
	// accepted holds the times of flows accepted within the last second while cold.
	accepted []time.Time
	// arrivals has the times of the latest packets, at most maxArrivals.
	arrivals []time.Time
}

func newRegion(t *testing.T, network byte, seed uint64, binary, dir string) *region {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &region{
		proxy:        newProxy(network, seed),
		store:        usersstore.New(),
		processes:    map[int]*process{},
		servers:      map[int]*backend{},
		storeRefused: map[int]bool{},
		routePorts:   []int{443},
		idleTimeout:  maxIdleTimeout,
		cancel:       cancel,
		loadAware:    isLoadAware(seed),
	}
	if r.loadAware {
		r.routePorts = []int{urgentPort, lessUrgentPort}
	}
	r.verifier = newVerifier(r)
	if r.loadAware {
		r.proxy.observe = r.verifier.noteDelivery
	}
	r.declareConfig()
	must(t, r.openProxy(ctx))
	var balancers []router.Balancer
	var seedAddresses []string
	for n := 1; n <= *balancerCount; n++ {
		balancers = append(balancers, router.Balancer{
			PacketAddress: r.proxy.ownAddress(n, packetPort),
			ReadyAddress:  r.proxy.ownAddress(n, readyPort),
		})
		seedAddresses = append(seedAddresses, fmt.Sprintf("%q", r.proxy.frontAddress(n, callsPort).String()))
	}
	seedList := strings.Join(seedAddresses, ",")
	for n := 1; n <= *balancerCount; n++ {
		r.startProcess(t, n, dir, binary, r.proxy.balancerSettings(n, seedList))
	}
	for n, service := range services {
		r.startProcess(t, n, dir, binary, r.proxy.agentSettings(n, seedList, service))
		must(t, r.startServer(n, 0))
	}
	r.router = router.New(router.Config{
		Balancers:         balancers,
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

func (r *region) startProcess(t *testing.T, n int, dir, binary, text string) {
	t.Helper()
	if r.loadAware {
		text = strings.Replace(text, "[passing]\n", "[passing]\ncontracts = [\"health\"]\n", 1)
	}
	p, err := newProcess(dir, binary, nameOf(n), text, r.verifier.addViolation)
	must(t, err)
	must(t, p.start())
	r.processes[n] = p
}

// openProxy opens the front addresses of all instances, and the addresses at which they
// reach the store.
func (r *region) openProxy(ctx context.Context) error {
	for _, n := range r.instances() {
		port := packetPort
		if n < firstAgent {
			port = peerPort
			if err := r.proxy.relayConnections(ctx, r.proxy.frontAddress(n, peerPort), r.proxy.ownAddress(n, peerPort), -1, n); err != nil {
				return err
			}
		}
		if err := r.proxy.relayDatagrams(n, port); err != nil {
			return err
		}
		store := r.proxy.address(6, n, storePort)
		if err := r.serveStore(n, store.String()); err != nil {
			return err
		}
		if err := r.proxy.relayConnections(ctx, r.proxy.frontAddress(n, storePort), store, n, 0); err != nil {
			return err
		}
	}
	return nil
}

func (r *region) instances() []int {
	var l []int
	for n := 1; n <= *balancerCount; n++ {
		l = append(l, n)
	}
	for n := firstAgent; n < firstAgent+len(services); n++ {
		l = append(l, n)
	}
	return l
}

// serveStore serves the store to instance n. It replaces the own addresses in request
// bodies by front addresses, so that other instances connect through the proxy.
func (r *region) serveStore(n int, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	own, front := fmt.Sprintf("127.%d.7.", r.proxy.network), fmt.Sprintf("127.%d.8.", r.proxy.network)
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		refused := r.storeRefused[n]
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
	r.storeFrontends = append(r.storeFrontends, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// coldRate is the rate of new flows that a cold backend server can handle, in flows per
// second.
const coldRate = 10

// maxIdleTimeout is the idle timeout that is declared, but while lowerIdleTimeout runs.
const maxIdleTimeout = 15 * time.Second

// changeConfig changes what is declared and declares it.
func (r *region) changeConfig(change func()) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	change()
	r.declareConfig()
}

// declareConfig declares the next version of the configuration in the store. The caller
// holds configMu, or has not started any action yet.
func (r *region) declareConfig() {
	r.configVersion++
	d := usersstore.Declaration{
		Version:     r.configVersion,
		IdleTimeout: r.idleTimeout,
	}
	for i, s := range serviceNames {
		d.Services = append(d.Services, usersstore.Service{
			Name:     s,
			ColdRate: coldRate,
		})
		for _, p := range r.routePorts {
			d.Routes = append(d.Routes, usersstore.Route{
				Host:    fmt.Sprintf("198.18.0.%d", i+1),
				Port:    p,
				Service: s,
				Class:   r.class(p),
			})
		}
	}
	r.store.Declare(d)
}

// startServer starts a new incarnation of the backend server of instance n, which is cold
// for the given time.
func (r *region) startServer(n int, cold time.Duration) error {
	b := &backend{
		instance:  n,
		service:   services[n],
		running:   true,
		startedAt: time.Now(),
		coldUntil: time.Now().Add(cold),
	}
	config := usersbackend.Config{
		Service:         services[n],
		Address:         r.proxy.ownAddress(n, backendPort),
		Outbound:        r.proxy.ownAddress(n, outboundPort),
		HeartbeatURL:    "http://" + r.proxy.ownAddress(n, callsPort).String(),
		RequestDuration: 20 * time.Millisecond,
		Warmup:          cold,
		Observe:         func(a usersbackend.Arrival) { r.verifier.checkArrival(b, a) },
	}
	if r.loadAware {
		config.Slots = loadSlots
		config.RequestDuration = loadDuration
	}
	s, err := usersbackend.New(config)
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

// crashServer ends the backend server of instance n as a crash would, if it is running.
func (r *region) crashServer(n int) {
	b := r.server(n)
	r.verifier.mu.Lock()
	wasRunning := b.running
	b.running = false
	r.verifier.mu.Unlock()
	if wasRunning {
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
		r.crashServer(n)
	}
	r.proxy.close()
	for _, w := range r.storeFrontends {
		_ = w.Close()
	}
	r.cancel()
}
