// Package objectstore is a stand-in for the platform's object API, with the
// faults that the platform shows: outages, slow answers, answers lost after
// the write took effect, broken watches and rate limits.
package objectstore

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxValue   = 1 << 20
	maxWait    = 30 * time.Second
	writeRate  = 400
	readRate   = 2000
	rateBurst  = 2
	writeBurst = writeRate / rateBurst
	readBurst  = readRate / rateBurst
)

// Faults are the faults in force. The zero value is a healthy platform.
type Faults struct {
	// Down makes every call fail without an answer.
	Down bool
	// Delay is added to each answer.
	Delay time.Duration
	// LostResponses is the share of writes whose answer is lost after they took
	// effect.
	LostResponses float64
	// BrokenWatches is the share of watches that end without an answer.
	BrokenWatches float64
	// Throttled is the share of calls answered with status 429.
	Throttled float64
}

// Calls counts the calls that arrived.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Limited uint64
}

// Server is the stand-in; use it as an http.Handler.
type Server struct {
	mu      sync.Mutex
	objects map[string]*object
	next    uint64
	changed chan struct{}
	faults  Faults
	calls   Calls
	rand    *rand.Rand
	reads   *rate.Limiter
	writes  *rate.Limiter
	onWrite func(path string, value []byte)
}

type object struct {
	version uint64
	value   []byte
}

// New returns an empty store. The seed draws its faults.
func New(seed uint64) *Server {
	return &Server{
		objects: map[string]*object{},
		changed: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, 2)),
		reads:   rate.NewLimiter(readRate, readBurst),
		writes:  rate.NewLimiter(writeRate, writeBurst),
	}
}

// SetFaults replaces the faults in force. Waiting watches break when the
// platform goes down.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.wake()
	}
}

// OnWrite calls f after each write took effect. It must not call the server.
func (s *Server) OnWrite(f func(path string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = f
}

// Calls returns the counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || p == "" {
		http.Error(w, "unknown path", http.StatusNotFound)
		return
	}
	if !s.enter(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && !strings.Contains(p, "/"):
		s.list(w, p)
	case r.Method == http.MethodGet:
		s.get(w, r, p)
	case r.Method == http.MethodPut || r.Method == http.MethodDelete:
		s.write(w, r, p)
	default:
		http.Error(w, "unknown method", http.StatusMethodNotAllowed)
	}
}

// enter counts the call and applies the faults that precede it.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	limited := s.limited(r) || s.rand.Float64() < f.Throttled
	if limited {
		s.calls.Limited++
	}
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		hangUp()
	}
	if limited {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) limited(r *http.Request) bool {
	if r.Method != http.MethodGet {
		s.calls.Writes++
		return !s.writes.Allow()
	}
	if r.URL.Query().Has("after") {
		s.calls.Watches++
	} else {
		s.calls.Reads++
	}
	return !s.reads.Allow()
}

func (s *Server) list(w http.ResponseWriter, kind string) {
	type item struct {
		Name    string          `json:"name"`
		Version uint64          `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	items := []item{}
	s.mu.Lock()
	for k, o := range s.objects {
		if n, ok := strings.CutPrefix(k, kind+"/"); ok {
			items = append(items, item{
				Name:    n,
				Version: o.version,
				Value:   o.value,
			})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Name, b.Name) })
	_ = json.NewEncoder(w).Encode(items)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, p string) {
	q := r.URL.Query()
	if q.Has("after") {
		s.watch(r, p, q.Get("after"), q.Get("wait_ms"))
	}
	s.mu.Lock()
	o := s.objects[p]
	s.mu.Unlock()
	if o == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.version))
	_, _ = w.Write(o.value)
}

// watch returns when the object's version differs from after or time is up.
func (s *Server) watch(r *http.Request, p, after, wait string) {
	n, _ := strconv.ParseUint(after, 10, 64)
	ms, _ := strconv.Atoi(wait)
	t := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer t.Stop()
	for {
		s.mu.Lock()
		f := s.faults
		broken := s.rand.Float64() < f.BrokenWatches
		v := s.version(p)
		c := s.changed
		s.mu.Unlock()
		if f.Down || broken {
			hangUp()
		}
		if v != n {
			return
		}
		select {
		case <-c:
		case <-t.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, p string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	if len(b) > maxValue {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	if !s.matches(r, p) {
		s.mu.Unlock()
		http.Error(w, "another version", http.StatusPreconditionFailed)
		return
	}
	v := s.store(r.Method, p, b)
	lost := s.rand.Float64() < s.faults.LostResponses
	s.mu.Unlock()
	if lost {
		hangUp()
	}
	w.Header().Set("ETag", etag(v))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) matches(r *http.Request, p string) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return s.objects[p] == nil
	}
	m := r.Header.Get("If-Match")
	return m == "" || m == etag(s.version(p))
}

func (s *Server) store(method, p string, value []byte) uint64 {
	s.next++
	if method == http.MethodDelete {
		delete(s.objects, p)
	} else {
		s.objects[p] = &object{
			version: s.next,
			value:   value,
		}
	}
	if s.onWrite != nil {
		s.onWrite(p, value)
	}
	s.wake()
	return s.next
}

func (s *Server) version(p string) uint64 {
	if o := s.objects[p]; o != nil {
		return o.version
	}
	return 0
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// hangUp closes the connection without an answer.
func hangUp() {
	panic(http.ErrAbortHandler)
}

func etag(v uint64) string {
	return `"` + strconv.FormatUint(v, 10) + `"`
}
