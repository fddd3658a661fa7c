// Package usersstore is a stand-in for the object store of the users' platform. It
// follows the platform's published protocol.
package usersstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pathPrefix = "/lentilshed/objects/"
	pageSize   = 500
)

// Server is an in-memory object store with simulated faults. It is safe for
// concurrent use.
type Server struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	// compacted is the newest revision whose history has been removed.
	compacted uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

// Faults are the simulated faults. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// LoseResponses closes the connections of writes without a response; valid writes
	// still take effect.
	LoseResponses bool
	// Delay is added to each response.
	Delay time.Duration
	// LateRemovals closes the connections of removals without a response, and performs
	// them after this time, if their condition still holds; zero performs them at once.
	LateRemovals time.Duration
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"rev"`
	Created    uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletion_pending"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

type event struct {
	Object  json.RawMessage `json:"object"`
	Deleted bool            `json:"deleted"`
}

// New returns an empty store.
func New() *Server {
	return &Server{
		revision: 1,
		objects:  map[string]map[string]*object{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls with the method so far.
func (s *Server) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put creates or replaces an object, as an operator or another client would. The spec
// may be any JSON; an unchanged one creates no new revision.
func (s *Server) Put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Delete removes an object.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns the spec of an object, or nil if it does not exist.
func (s *Server) Get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return nil
	}
	return o.Spec
}

// Compact removes all history. A watch from an older revision then gets status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatchers()
}

func (s *Server) put(kind, name string, spec json.RawMessage) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return
	}
	s.revision++
	if o == nil {
		o = &object{
			Meta: meta{
				Name:       name,
				Created:    s.revision,
				Finalizers: []string{},
			},
		}
		s.objects[kind][name] = o
	}
	o.Meta.Revision = s.revision
	o.Spec = spec
	s.record(kind, o, false)
}

func (s *Server) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.record(kind, o, true)
}

func (s *Server) record(kind string, o *object, deleted bool) {
	s.history = append(s.history, change{
		kind:     kind,
		revision: s.revision,
		event: event{
			Object:  encode(o),
			Deleted: deleted,
		},
	})
	s.notifyWatchers()
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.calls[q.Method]++
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(q.URL.Path, pathPrefix), "/")
	switch q.Method {
	case http.MethodGet:
		s.get(w, q, kind, name, named)
	default:
		s.write(w, q, f, kind, name)
	}
}

func (s *Server) get(w http.ResponseWriter, q *http.Request, kind, name string, named bool) {
	switch {
	case named:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(encode(o))
	case q.URL.Query().Has("watch"):
		s.watch(w, q, kind)
	default:
		s.list(w, kind, q.URL.Query().Get("after"))
	}
}

func (s *Server) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []json.RawMessage{}
	for _, n := range names {
		items = append(items, encode(s.objects[kind][n]))
	}
	_, _ = w.Write(encode(map[string]any{
		"items":  items,
		"more":   more,
		"at_rev": s.revision,
	}))
}

func (s *Server) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := after < s.compacted
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c.event)
			}
		}
		revision := s.revision
		changed := s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || wait == 0:
			_, _ = w.Write(encode(map[string]any{
				"events": events,
				"at_rev": revision,
			}))
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-end:
			wait = 0
		case <-changed:
		}
	}
}

func (s *Server) write(w http.ResponseWriter, q *http.Request, f Faults, kind, name string) {
	var o object
	if q.Method != http.MethodDelete && json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r, err := strconv.ParseUint(q.URL.Query().Get("rev"), 10, 64); err == nil {
		o.Meta.Revision = r
	}
	if q.Method == http.MethodPost {
		name = o.Meta.Name
	}
	if q.Method == http.MethodDelete && f.LateRemovals > 0 {
		time.AfterFunc(f.LateRemovals, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(q.Method, kind, name, o)
		})
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status := s.apply(q.Method, kind, name, o)
	var answer json.RawMessage
	if x := s.objects[kind][name]; x != nil {
		answer = encode(x)
	}
	s.mu.Unlock()
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// apply performs a write if its condition holds.
func (s *Server) apply(method, kind, name string, o object) int {
	x := s.objects[kind][name]
	switch {
	case method == http.MethodPost && x != nil:
		return http.StatusConflict
	case method != http.MethodPost && x == nil:
		return http.StatusNotFound
	case o.Meta.Revision != 0 && x != nil && o.Meta.Revision != x.Meta.Revision:
		return http.StatusConflict
	case method == http.MethodDelete:
		s.remove(kind, name)
	default:
		s.put(kind, name, o.Spec)
	}
	return http.StatusOK
}

func encode(x any) json.RawMessage {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	return b
}
