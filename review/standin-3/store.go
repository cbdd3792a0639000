package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// history is the time for which the store keeps events.
const history = 20 * time.Second

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
	at       time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	record *record
	// fault, if set, may take over a call: it returns true if the call has been dealt with.
	fault func(w http.ResponseWriter, r *http.Request) bool

	mutex     sync.Mutex
	kinds     map[string]map[string]object
	events    []event
	revision  uint64
	forgotten uint64
	changed   chan struct{}
}

func newStore(rec *record) *store {
	return &store{record: rec, kinds: map[string]map[string]object{}, revision: 100, changed: make(chan struct{})}
}

// serve starts the store and returns its address.
func (s *store) serve() string {
	l := listen()
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return l
}

// put writes a spec unconditionally, as the operator does.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name, Created: s.kinds[kind][name].Metadata.Created}, Spec: spec}, false)
}

// write stores an object and returns it. The mutex is locked.
func (s *store) write(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind, revision: s.revision, at: time.Now()})
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.forgotten = s.events[0].revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fault != nil && s.fault(w, r) {
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, wire.Objects)
	if !found {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	if r.Method == http.MethodGet && query.Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var in object
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	old, exists := s.kinds[kind][name]
	expected := in.Metadata.Revision
	if text := query.Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost:
		if other, taken := s.kinds[kind][in.Metadata.Name]; taken {
			reply(w, http.StatusConflict, other)
			return
		}
		in.Metadata.Created = 0
		reply(w, http.StatusCreated, s.write(kind, in, false))
		s.record.logf("store: POST %s/%s", kind, in.Metadata.Name)
	case !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case expected != 0 && expected != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut:
		in.Metadata.Name, in.Metadata.Created, in.Status = name, old.Metadata.Created, old.Status
		reply(w, http.StatusOK, s.write(kind, in, false))
		s.record.logf("store: PUT %s/%s", kind, name)
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.write(kind, old, true))
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, wire.HasMore: false, wire.StoreRevision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get(wire.WaitMs))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		found, revision, changed, gone := []event{}, s.revision, s.changed, after < s.forgotten
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		s.mutex.Unlock()
		switch {
		case gone:
			reply(w, http.StatusGone, nil)
			return
		case len(found) > 0 || over:
			reply(w, http.StatusOK, map[string]any{"events": found, wire.StoreRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func must(err error) {
	if err != nil {
		panic(skip(fmt.Sprint("setup: ", err)))
	}
}

// skip is the panic value of a case that can't run.
type skip string
