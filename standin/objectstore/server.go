// Package objectstore is a stand-in for the platform's object API. It can simulate
// the platform's faults: outages, slow responses, responses lost after the write
// took effect, broken watches and rate limits.
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
	maxValueBytes   = 1 << 20
	maxWatchTime    = 30 * time.Second
	writesPerSecond = 400
	readsPerSecond  = 2000
	// burstDivisor allows bursts of half a second's worth of calls.
	burstDivisor = 2
	writeBurst   = writesPerSecond / burstDivisor
	readBurst    = readsPerSecond / burstDivisor
)

// Faults are the simulated faults. The zero value is a healthy platform. Shares are
// between 0 and 1.
type Faults struct {
	// Down makes every call fail without a response.
	Down bool
	// Delay is added to each response.
	Delay time.Duration
	// LostResponses is the share of writes whose response is lost after they took
	// effect.
	LostResponses float64
	// BrokenWatches is the share of watches that end without a response. It applies
	// again each time that any object changes during the watch.
	BrokenWatches float64
	// Throttled is the share of calls that get status 429, in addition to those
	// above the rate limits.
	Throttled float64
}

// Calls counts the received calls by kind. Limited counts those of all kinds that
// exceeded a rate limit or were throttled.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Limited uint64
}

// Server is an in-memory object store, used as an http.Handler. It is safe for
// concurrent use.
type Server struct {
	mu          sync.Mutex
	objects     map[string]*object
	lastVersion uint64
	changed     chan struct{}
	faults      Faults
	calls       Calls
	rand        *rand.Rand
	reads       *rate.Limiter
	writes      *rate.Limiter
	onWrite     func(path string, value []byte)
}

type object struct {
	version uint64
	value   []byte
}

// New returns an empty store. The seed determines which calls its faults affect.
func New(seed uint64) *Server {
	return &Server{
		objects: map[string]*object{},
		changed: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, 2)),
		reads:   rate.NewLimiter(readsPerSecond, readBurst),
		writes:  rate.NewLimiter(writesPerSecond, writeBurst),
	}
}

// SetFaults replaces the faults in force. When Down is set, waiting watches end
// without a response.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.notifyWatchers()
	}
}

// OnWrite sets a function that is called after each write took effect, also a delete,
// whose value is the request's body. It must not call the server, whose lock is held.
func (s *Server) OnWrite(f func(path string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = f
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || p == "" {
		http.Error(w, "unknown path", http.StatusNotFound)
		return
	}
	if !s.admit(w, r) {
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

// admit counts the call and applies outages, delay, throttling and rate limits. It
// reports whether the call is to be handled; if not, it has sent the response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	limited := s.limited(r) || s.rand.Float64() < f.Throttled
	if limited {
		s.calls.Limited++
	}
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		abortConnection()
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

// watch returns when the object's version differs from after, the wait ends or the
// caller is gone. It aborts the connection if the platform is down or the watch breaks.
func (s *Server) watch(r *http.Request, p, after, wait string) {
	afterVersion, _ := strconv.ParseUint(after, 10, 64)
	ms, _ := strconv.Atoi(wait)
	t := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchTime))
	defer t.Stop()
	for {
		s.mu.Lock()
		f := s.faults
		broken := s.rand.Float64() < f.BrokenWatches
		v := s.version(p)
		c := s.changed
		s.mu.Unlock()
		if f.Down || broken {
			abortConnection()
		}
		if v != afterVersion {
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
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	if len(b) > maxValueBytes {
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
		abortConnection()
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
	s.lastVersion++
	if method == http.MethodDelete {
		delete(s.objects, p)
	} else {
		s.objects[p] = &object{
			version: s.lastVersion,
			value:   value,
		}
	}
	if s.onWrite != nil {
		s.onWrite(p, value)
	}
	s.notifyWatchers()
	return s.lastVersion
}

func (s *Server) version(p string) uint64 {
	if o := s.objects[p]; o != nil {
		return o.version
	}
	return 0
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// abortConnection closes the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func etag(v uint64) string {
	return `"` + strconv.FormatUint(v, 10) + `"`
}
