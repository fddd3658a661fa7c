package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
	// translate rewrites the specs that processes write, so that the addresses in them lead
	// through the proxy of this stand-in.
	translate func(spec string) string
	server    *http.Server
}

type object struct {
	Meta objectMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type objectMeta struct {
	Name       string `json:"name"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"-"`
}

// MarshalJSON writes an object as the store answers it.
func (o *object) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"meta": map[string]any{
			"name":           o.Meta.Name,
			"rev":            o.Meta.Rev,
			"created_rev":    o.Meta.CreatedRev,
			"finalizers":     []string{},
			wire("deleting"): false,
		},
		"spec":   o.Spec,
		"status": nil,
	})
}

type change struct {
	kind    string
	rev     uint64
	object  json.RawMessage
	deleted bool
}

func newStore(address string, translate func(string) string) (*store, error) {
	s := &store{
		revision:  1,
		objects:   map[string]map[string]*object{},
		changed:   make(chan struct{}),
		translate: translate,
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func encode(x any) json.RawMessage {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	return b
}

// put stores an object. The lock must be held.
func (s *store) put(kind, name string, spec json.RawMessage) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return
	}
	s.revision++
	if o == nil {
		o = &object{Meta: objectMeta{Name: name, CreatedRev: s.revision}}
		s.objects[kind][name] = o
	}
	o.Meta.Rev = s.revision
	o.Spec = spec
	s.note(kind, o, false)
}

func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.note(kind, o, true)
}

func (s *store) note(kind string, o *object, deleted bool) {
	s.history = append(s.history, change{kind, s.revision, encode(o), deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores an object as the operator does; it is acknowledged when write returns.
func (s *store) write(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, encode(spec))
}

func (s *store) erase(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for n := range s.objects[kind] {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, wire("objects")), "/")
	w.Header().Set("Content-Type", "application/json")
	v := q.URL.Query()
	switch {
	case q.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o := s.objects[kind][name]
		var b json.RawMessage
		if o != nil {
			b = encode(o)
		}
		s.mu.Unlock()
		if b == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(b)
	case q.Method == http.MethodGet && v.Has("watch"):
		s.watch(w, q, kind)
	case q.Method == http.MethodGet:
		s.mu.Lock()
		var l []string
		for n := range s.objects[kind] {
			if n > v.Get("after") {
				l = append(l, n)
			}
		}
		sort.Strings(l)
		items := []json.RawMessage{}
		for _, n := range l {
			items = append(items, encode(s.objects[kind][n]))
		}
		b := encode(map[string]any{"items": items, "more": false, wire("revision"): s.revision})
		s.mu.Unlock()
		_, _ = w.Write(b)
	default:
		s.change(w, q, kind, name)
	}
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	last := false
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		rev := s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			_, _ = w.Write(encode(map[string]any{"events": events, wire("revision"): rev}))
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-end:
			last = true
		case <-changed:
		}
	}
}

func (s *store) change(w http.ResponseWriter, q *http.Request, kind, name string) {
	var o object
	if q.Method != http.MethodDelete {
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if n, err := strconv.ParseUint(q.URL.Query().Get("rev"), 10, 64); err == nil {
		o.Meta.Rev = n
	}
	if q.Method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case q.Method == http.MethodPost && x != nil:
		status = http.StatusConflict
	case q.Method != http.MethodPost && x == nil:
		status = http.StatusNotFound
	case o.Meta.Rev != 0 && x != nil && o.Meta.Rev != x.Meta.Rev:
		status = http.StatusConflict
	case q.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		spec := o.Spec
		if s.translate != nil {
			spec = json.RawMessage(s.translate(string(spec)))
		}
		s.put(kind, name, spec)
	}
	w.WriteHeader(status)
	if y := s.objects[kind][name]; y != nil {
		_, _ = w.Write(encode(y))
	}
}
