package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store: its metadata and what the writer sent.
type object struct {
	name              string
	revision, created uint64
	deleted           bool
	spec, status      json.RawMessage
}

type event struct {
	kind string
	object
}

// store is a stand-in for the platform's metadata store. It keeps its whole
// history and is always sound.
type store struct {
	mutex   sync.Mutex
	objects map[string]map[string]object
	history []event
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// revision is the number of writes so far. The caller holds the mutex.
func (s *store) revision() uint64 { return uint64(len(s.history)) + 1 }

// write stores an object and returns it. The caller holds the mutex.
func (s *store) write(kind string, o object) object {
	o.revision = s.revision() + 1
	if o.created == 0 {
		o.created = o.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if o.deleted {
		delete(s.objects[kind], o.name)
	} else {
		s.objects[kind][o.name] = o
	}
	s.history = append(s.history, event{kind, o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes as the operator does.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	check(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, object{name: name, spec: encoded, created: s.objects[kind][name].created})
}

func (o object) encoded() map[string]any {
	return map[string]any{
		"metadata": map[string]any{
			"name": o.name, "revision": o.revision, "created_rev": o.created, "finalizers": []string{}, "deleting": false,
		},
		"spec": o.spec, "status": o.status,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the calls of the nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &body)
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != old.revision:
		reply(w, http.StatusConflict, old.encoded())
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		old.deleted = true
		reply(w, http.StatusOK, s.write(kind, old).encoded())
	default:
		reply(w, http.StatusOK, s.write(kind, object{name: name, spec: body.Spec, created: old.created}).encoded())
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if query.Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if found, ok := s.objects[kind][name]; ok {
			reply(w, http.StatusOK, found.encoded())
			return
		}
		reply(w, http.StatusNotFound, nil)
		return
	}
	items := []any{}
	for _, each := range s.objects[kind] {
		items = append(items, each.encoded())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has" + "_more": false, "store" + "_revision": s.revision()})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait" + "_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []any{}
		for _, each := range s.history {
			if each.kind == kind && each.revision > after {
				events = append(events, map[string]any{"object": each.encoded(), "deleted": each.deleted})
			}
		}
		revision, changed := s.revision(), s.changed
		s.mutex.Unlock()
		body := map[string]any{"events": events, "store" + "_revision": revision}
		if len(events) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serve starts an HTTP server on a free loopback address and returns the address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}
