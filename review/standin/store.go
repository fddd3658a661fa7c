package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is one object of the platform's store.
type storedObject struct {
	name       string
	rev        uint64
	created    uint64
	finalizers []string
	spec       json.RawMessage
	status     json.RawMessage
}

type storeEvent struct {
	kind    string
	rev     uint64
	object  json.RawMessage
	deleted bool
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject
	history  []storeEvent
	changed  chan struct{}
	address  string
	// down makes every call fail with status 503.
	down bool
	// late returns how much later than its arrival a write is done, without an answer;
	// zero is at once and with an answer. Nil is zero for all.
	late func(method, kind, name string) time.Duration
	// writes and lost count the writes, and those without an answer, since both were
	// set to zero.
	writes, lost int
}

func newStore(ip string) *store {
	l, err := net.Listen("tcp4", ip+":0")
	check(err)
	s := &store{
		revision: 100,
		objects:  map[string]map[string]*storedObject{},
		changed:  make(chan struct{}),
		address:  l.Addr().String(),
	}
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setLate(f func(method, kind, name string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = f
	s.writes = 0
	s.lost = 0
}

func (s *store) lostWrites() (lost, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.writes
}

// has reports whether an object whose name is given exists.
func (s *store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name] != nil
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec, nil)
}

func (s *store) encode(o *storedObject) json.RawMessage {
	b, err := json.Marshal(map[string]any{
		"meta": map[string]any{
			"name":            o.name,
			"rev":             o.rev,
			"created_rev":     o.created,
			"finalizers":      o.finalizers,
			names["deleting"]: false,
		},
		"spec":   o.spec,
		"status": o.status,
	})
	check(err)
	return b
}

func (s *store) record(kind string, o *storedObject, deleted bool) {
	s.history = append(s.history, storeEvent{
		kind:    kind,
		rev:     s.revision,
		object:  s.encode(o),
		deleted: deleted,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(kind, name string, spec json.RawMessage, finalizers []string) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.spec) == string(spec) {
		return
	}
	s.revision++
	if o == nil {
		o = &storedObject{
			name:    name,
			created: s.revision,
		}
		s.objects[kind][name] = o
	}
	if finalizers == nil {
		finalizers = []string{}
	}
	o.rev = s.revision
	o.spec = spec
	o.finalizers = finalizers
	s.record(kind, o, false)
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, named := strings.Cut(strings.TrimPrefix(q.URL.Path, names["objects"]), "/")
	if q.Method == http.MethodGet {
		s.get(w, q, kind, name, named)
		return
	}
	s.write(w, q, kind, name)
}

func (s *store) get(w http.ResponseWriter, q *http.Request, kind, name string, named bool) {
	w.Header().Set("Content-Type", "application/json")
	if q.URL.Query().Has("watch") {
		s.watch(w, q, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if named {
		o := s.objects[kind][name]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(s.encode(o))
		return
	}
	items := []json.RawMessage{}
	var sorted []string
	for n := range s.objects[kind] {
		if n > q.URL.Query().Get("after") {
			sorted = append(sorted, n)
		}
	}
	slices.Sort(sorted)
	for _, n := range sorted {
		items = append(items, s.encode(s.objects[kind][n]))
	}
	answer(w, map[string]any{
		"items":           items,
		"more":            false,
		names["revision"]: s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > after {
				events = append(events, map[string]any{
					"object":  e.object,
					"deleted": e.deleted,
				})
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case over || len(events) > 0:
			answer(w, map[string]any{
				"events":          events,
				names["revision"]: at,
			})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-end:
			over = true
		case <-changed:
		}
	}
}

func (s *store) write(w http.ResponseWriter, q *http.Request, kind, name string) {
	var body struct {
		Meta struct {
			Name       string   `json:"name"`
			Rev        uint64   `json:"rev"`
			Finalizers []string `json:"finalizers"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if q.Method != http.MethodDelete {
		if json.NewDecoder(q.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	rev := body.Meta.Rev
	if r, err := strconv.ParseUint(q.URL.Query().Get("rev"), 10, 64); err == nil {
		rev = r
	}
	target := name
	if q.Method == http.MethodPost {
		target = body.Meta.Name
	}
	s.mu.Lock()
	delay := time.Duration(0)
	if s.late != nil {
		delay = s.late(q.Method, kind, target)
	}
	s.writes++
	if delay > 0 {
		s.lost++
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status := s.apply(q.Method, kind, target, rev, body.Spec, body.Meta.Finalizers)
			logf("store: %s %s/%s, which got no answer, is done now with status %d", q.Method, kind, target, status)
		})
		logf("store: %s %s/%s gets no answer", q.Method, kind, target)
		panic(http.ErrAbortHandler)
	}
	status := s.apply(q.Method, kind, target, rev, body.Spec, body.Meta.Finalizers)
	s.mu.Unlock()
	if strings.Contains(kind, "agents") {
		logf("store: %s %s/%s, status %d", q.Method, kind, target, status)
	}
	w.WriteHeader(status)
}

// apply does a write whose condition, if it has one, holds. The lock must be held.
func (s *store) apply(method, kind, name string, rev uint64, spec json.RawMessage, finalizers []string) int {
	o := s.objects[kind][name]
	switch {
	case method == http.MethodPost && o != nil:
		return http.StatusConflict
	case method != http.MethodPost && o == nil:
		return http.StatusNotFound
	case rev != 0 && o != nil && rev != o.rev:
		return http.StatusConflict
	case method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.record(kind, o, true)
	default:
		s.set(kind, name, spec, finalizers)
	}
	return http.StatusOK
}

func answer(w http.ResponseWriter, x any) {
	b, err := json.Marshal(x)
	check(err)
	_, _ = w.Write(b)
}
