// Package server offers the stand-in store over HTTP with JSON bodies.
//
//	GET    /object?key=              object
//	PUT    /object?key=&expected=    {"value": base64} -> {"revision"}
//	DELETE /object?key=&expected=
//	GET    /list?prefix=&after=      one page: objects, revision, more
//	GET    /watch?prefix=&after=&keys=&wait=
//	GET, PUT /faults                 injector.Plan
//	GET    /stats                    Stats
//
// 404 missing, 409 conflict, 410 history gone, 400 and 413 invalid. 429 and
// 503 promise that the call had no effect.
package server

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun/objectstore/injector"
	"sycamorerun/objectstore/keeper"
	"sycamorerun/persister"
)

const (
	maxWait = time.Minute
	// bodyBytes holds a value at its limit in base64 and the JSON around it.
	bodyBytes = keeper.ValueBytes*4/3 + 1024
)

// Server is the HTTP handler of the stand-in.
type Server struct {
	Keeper   *keeper.Keeper
	Injector *injector.Injector
	Now      func() time.Time
	Logger   log.Logger

	frozen atomic.Pointer[keeper.Keeper]
	usages usages
	mux    *http.ServeMux
	calls  calls
}

// New returns a server for the keeper's objects.
func New(k *keeper.Keeper, i *injector.Injector) *Server {
	s := &Server{
		Keeper: k, Injector: i, Now: time.Now, Logger: log.NewNopLogger(),
		usages: usages{by: map[string]*Usage{}}, mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /object", s.handle(injector.Get, "key", s.get))
	s.mux.HandleFunc("PUT /object", s.handle(injector.Put, "key", s.put))
	s.mux.HandleFunc("DELETE /object", s.handle(injector.Delete, "key", s.delete))
	s.mux.HandleFunc("GET /list", s.handle(injector.List, "prefix", s.list))
	s.mux.HandleFunc("GET /watch", s.handle(injector.Watch, "prefix", s.watch))
	s.mux.HandleFunc("GET /faults", s.faults)
	s.mux.HandleFunc("PUT /faults", s.setFaults)
	s.mux.HandleFunc("GET /stats", s.stats)
	return s
}

// ServeHTTP serves the store and its control calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the plan of faults. Stale answers come from the state at
// this moment.
func (s *Server) SetFaults(plan injector.Plan) error {
	var frozen *keeper.Keeper
	for _, rule := range plan.Rules {
		if rule.Kind == injector.Stale {
			frozen = s.Keeper.Clone()
		}
	}
	if err := s.Injector.Set(s.Now(), plan); err != nil {
		return err
	}
	s.calls.silence(s.Injector.Silences)
	s.frozen.Store(frozen)
	_ = level.Info(s.Logger).Log("msg", "fault plan replaced", "rules", len(plan.Rules), "reads", plan.Reads, "writes", plan.Writes)
	return nil
}

// request is a call after its faults before the effect.
type request struct {
	*http.Request
	key      string
	revision persister.Revision
	from     *keeper.Keeper
	stale    bool
}

type page struct {
	persister.Listing
	More bool `json:"more,omitempty"`
}

func (s *Server) get(r request) (any, error) { return r.from.Get(r.key) }

func (s *Server) list(r request) (any, error) {
	listing, more := r.from.List(r.key, r.revision)
	return page{listing, more}, nil
}

func (s *Server) put(r request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrap(keeper.ErrInvalid, err.Error())
	}
	var object persister.Object
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, errors.Wrap(keeper.ErrInvalid, err.Error())
	}
	revision, err := s.Keeper.Put(r.key, object.Value, r.revision)
	return persister.Object{Key: r.key, Revision: revision}, err
}

func (s *Server) delete(r request) (any, error) {
	return struct{}{}, s.Keeper.Delete(r.key, r.revision)
}

func (s *Server) watch(r request) (any, error) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		return nil, errors.Wrap(keeper.ErrInvalid, "wait")
	}
	keysOnly, err := strconv.ParseBool(r.URL.Query().Get("keys"))
	if err != nil {
		return nil, errors.Wrap(keeper.ErrInvalid, "keys")
	}
	caller := caller(r.Request)
	s.usages.add(caller, func(u *Usage) { u.Watches++ })
	defer s.usages.add(caller, func(u *Usage) { u.Watches-- })
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	if r.stale {
		<-ctx.Done()
		return persister.Listing{Revision: r.revision}, nil
	}
	return s.Keeper.Watch(ctx, r.key, r.revision, keysOnly)
}

// handle wraps a call of the store with its faults, limits and statistics.
func (s *Server) handle(operation injector.Operation, key string, call func(request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, link := caller(r), linkOf(r)
		made := injector.Call{Operation: operation, Key: r.URL.Query().Get(key), Caller: who, Opened: link.opened}
		decision := s.Injector.Decide(s.Now(), made)
		defer s.calls.add(made, link)()
		received := &counter{ReadCloser: http.MaxBytesReader(w, r.Body, bodyBytes)}
		r.Body = received
		defer func() { s.usages.add(who, func(u *Usage) { u.Received += received.n }) }()
		s.usages.add(who, func(u *Usage) { u.count(operation, decision.Limited) })
		if decision.Silence {
			link.silent.Store(true)
		}
		if link.silent.Load() {
			hold(r)
			return
		}
		if !s.before(w, r, who, decision) {
			return
		}
		from, stale := s.Keeper, false
		if frozen := s.frozen.Load(); decision.Stale && frozen != nil {
			from, stale = frozen, true
		}
		perform := func(r *http.Request) (any, error) {
			revision, err := revision(r)
			if err != nil {
				return nil, err
			}
			return call(request{Request: r, key: made.Key, revision: revision, from: from, stale: stale})
		}
		if decision.Late > 0 {
			s.performLate(r, decision.Late, perform)
		}
		result, err := perform(r)
		switch {
		case decision.Lose:
			// Aborts the connection without an answer.
			panic(http.ErrAbortHandler)
		case decision.Mute || link.silent.Load():
			hold(r)
		case err != nil:
			s.fail(w, who, err)
		default:
			s.answer(w, who, http.StatusOK, result)
		}
	}
}

// before applies the faults that precede the effect and reports whether the
// call goes on.
func (s *Server) before(w http.ResponseWriter, r *http.Request, who string, decision injector.Decision) bool {
	switch {
	case decision.Limited:
		s.answer(w, who, http.StatusTooManyRequests, problem{"rate limit"})
		return false
	case decision.Stall:
		hold(r)
		return false
	case decision.Forget:
		s.Keeper.Forget()
		s.fail(w, who, persister.ErrCompacted)
		return false
	}
	if decision.Delay > 0 {
		timer := time.NewTimer(decision.Delay)
		defer timer.Stop()
		<-timer.C
	}
	if decision.Refuse {
		s.answer(w, who, http.StatusServiceUnavailable, problem{"refused"})
		return false
	}
	return true
}

func (u *Usage) count(operation injector.Operation, limited bool) {
	switch {
	case limited:
		u.Limited++
	case operation.Write():
		u.Writes++
	default:
		u.Reads++
	}
}

type problem struct {
	Error string `json:"error"`
}

func (s *Server) fail(w http.ResponseWriter, who string, err error) {
	status := http.StatusInternalServerError
	for target, known := range map[error]int{
		persister.ErrMissing:   http.StatusNotFound,
		persister.ErrConflict:  http.StatusConflict,
		persister.ErrCompacted: http.StatusGone,
		keeper.ErrInvalid:      http.StatusBadRequest,
	} {
		if errors.Is(err, target) {
			status = known
		}
	}
	s.answer(w, who, status, problem{err.Error()})
}

func (s *Server) answer(w http.ResponseWriter, who string, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	n, _ := w.Write(data)
	s.usages.add(who, func(u *Usage) { u.Sent += int64(n) })
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Injector.Plan())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var plan injector.Plan
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&plan)
	if err == nil {
		err = s.SetFaults(plan)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	stats := s.usages.stats()
	objects, revision := s.Keeper.Size()
	stats.Objects, stats.Revision = objects, uint64(revision)
	_ = json.NewEncoder(w).Encode(stats)
}

// revision reads the revision of a call, "expected" for writes and "after"
// for lists and watches; a get has none.
func revision(r *http.Request) (persister.Revision, error) {
	text := r.URL.Query().Get("expected") + r.URL.Query().Get("after")
	if text == "" && r.Method == http.MethodGet {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errors.Wrap(keeper.ErrInvalid, err.Error())
	}
	return persister.Revision(n), nil
}

func caller(r *http.Request) string {
	if name := r.Header.Get(persister.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// counter counts the bytes of a request body.
type counter struct {
	io.ReadCloser
	n int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.n += int64(n)
	return n, err
}
