package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the part of an object that the store maintains.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object.
type event struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole
// history.
type store struct {
	address string

	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]map[string]object
	events   []event
}

// startStore starts a store on a free port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), changed: make(chan struct{}), revision: 1,
		objects: map[string]map[string]object{},
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// putSpec writes an object without a condition, as the operator does.
func (s *store) putSpec(kind, name string, spec any) error {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	if !exists {
		current.Metadata = metadata{Name: name, Finalizers: []string{}}
	}
	current.Spec = encoded
	s.write(kind, current, !exists)
	return nil
}

// write stores an object under the next revision. The caller holds the mutex.
func (s *store) write(kind string, o object, created bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if created {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// record adds an event and wakes the watches. The caller holds the mutex.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire["objects"]), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	o, ok := s.objects[kind][name]
	s.mutex.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	items, revision := []object{}, s.revision
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	respond(w, http.StatusOK, map[string]any{"items": items, wire["more"]: false, wire["revision"]: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(wire["wait"]))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, wire["revision"]: revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": events, wire["revision"]: revision})
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	var in object
	if err == nil && r.Method != http.MethodDelete {
		err = json.Unmarshal(data, &in)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	status := strings.HasSuffix(name, "/status")
	name = strings.TrimSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	condition := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != current.Metadata.Revision:
		respond(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		in.Metadata = metadata{Name: name, Finalizers: []string{}}
		respond(w, http.StatusCreated, s.write(kind, in, true))
	case !exists:
		respond(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		current.Metadata.Revision = s.revision
		s.record(event{kind: kind, Deleted: true, Object: current})
		respond(w, http.StatusOK, current)
	case status:
		current.Status = in.Status
		respond(w, http.StatusOK, s.write(kind, current, false))
	default:
		current.Spec = in.Spec
		respond(w, http.StatusOK, s.write(kind, current, false))
	}
}
