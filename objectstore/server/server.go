// Package server serves the stand-in store over HTTP with JSON bodies.
//
//	GET    /object?key=              object
//	PUT    /object?key=&expected=    {"value": base64} -> {"revision"}
//	DELETE /object?key=&expected=
//	GET    /list?prefix=&after=      one page: objects, revision, more
//	GET    /watch?prefix=&after=&keys=&wait=
//	GET, PUT /faults                 injector.Plan
//	GET    /stats                    Stats
//
// Status 404 means missing, 409 conflict, 410 history discarded, 400 and 413
// invalid. Status 429 and 503 guarantee that the call was not executed.
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
	// maxBodyBytes fits a value of the maximum size in base64 and the JSON around
	// it.
	maxBodyBytes = keeper.MaxValueBytes*4/3 + 1024
)

// Server is the HTTP handler of the stand-in store.
type Server struct {
	Keeper   *keeper.Keeper
	Injector *injector.Injector
	Now      func() time.Time
	Logger   log.Logger

	snapshot atomic.Pointer[keeper.Keeper]
	usages   usageTable
	mux      *http.ServeMux
	inFlight inFlightCalls
}

// New returns a server for the objects of k with the faults of i.
func New(k *keeper.Keeper, i *injector.Injector) *Server {
	s := &Server{
		Keeper: k, Injector: i, Now: time.Now, Logger: log.NewNopLogger(),
		usages: usageTable{byCaller: map[string]*Usage{}}, mux: http.NewServeMux(),
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

// ServeHTTP serves the calls of the store, the fault plan and the statistics.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault plan. If the plan has a stale rule, stale answers
// come from the state at the time of this call.
func (s *Server) SetFaults(plan injector.Plan) error {
	var snapshot *keeper.Keeper
	for _, rule := range plan.Rules {
		if rule.Kind == injector.Stale {
			snapshot = s.Keeper.Clone()
		}
	}
	if err := s.Injector.Set(s.Now(), plan); err != nil {
		return err
	}
	s.inFlight.silence(s.Injector.Silenced)
	s.snapshot.Store(snapshot)
	_ = level.Info(s.Logger).Log("msg", "fault plan replaced", "rules", len(plan.Rules), "reads", plan.Reads, "writes", plan.Writes)
	return nil
}

// request is a call to be executed. The source is the keeper that answers reads:
// the current one, or the snapshot if stale is set.
type request struct {
	*http.Request
	key      string
	revision persister.Revision
	source   *keeper.Keeper
	stale    bool
}

type listPage struct {
	persister.Listing
	More bool `json:"more,omitempty"`
}

func (s *Server) get(r request) (any, error) { return r.source.Get(r.key) }

func (s *Server) list(r request) (any, error) {
	listing, more := r.source.List(r.key, r.revision)
	return listPage{listing, more}, nil
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
	caller := callerName(r.Request)
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

// handle returns the handler of an operation. It applies faults and rate limits
// and counts the call. The named query parameter has the key or the prefix.
func (s *Server) handle(operation injector.Operation, parameter string, operate func(request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, conn := callerName(r), connectionOf(r)
		attributes := injector.Call{Operation: operation, Key: r.URL.Query().Get(parameter), Caller: caller, Opened: conn.opened}
		decision := s.Injector.Decide(s.Now(), attributes)
		defer s.inFlight.add(attributes, conn)()
		received := &countingReader{ReadCloser: http.MaxBytesReader(w, r.Body, maxBodyBytes)}
		r.Body = received
		defer func() { s.usages.add(caller, func(u *Usage) { u.Received += received.n }) }()
		s.usages.add(caller, func(u *Usage) { u.count(operation, decision.Limited) })
		if decision.Silence {
			conn.silent.Store(true)
		}
		if conn.silent.Load() {
			waitForDisconnect(r)
			return
		}
		if !s.applyFaults(w, r, caller, decision) {
			return
		}
		source, stale := s.Keeper, false
		if snapshot := s.snapshot.Load(); decision.Stale && snapshot != nil {
			source, stale = snapshot, true
		}
		perform := func(r *http.Request) (any, error) {
			revision, err := revision(r)
			if err != nil {
				return nil, err
			}
			return operate(request{Request: r, key: attributes.Key, revision: revision, source: source, stale: stale})
		}
		if decision.Late > 0 {
			s.performDetached(r, decision.Late, perform)
		}
		result, err := perform(r)
		switch {
		case decision.Lose:
			// Closes the connection without an answer.
			panic(http.ErrAbortHandler)
		case decision.Mute || conn.silent.Load():
			waitForDisconnect(r)
		case err != nil:
			s.writeError(w, caller, err)
		default:
			s.writeJSON(w, caller, http.StatusOK, result)
		}
	}
}

// applyFaults applies the faults that precede the execution and reports whether
// the call is to be executed.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, caller string, decision injector.Decision) bool {
	switch {
	case decision.Limited:
		s.writeJSON(w, caller, http.StatusTooManyRequests, errorBody{"rate limit"})
		return false
	case decision.Stall:
		waitForDisconnect(r)
		return false
	case decision.Forget:
		s.Keeper.Compact()
		s.writeError(w, caller, persister.ErrCompacted)
		return false
	}
	if decision.Delay > 0 {
		timer := time.NewTimer(decision.Delay)
		defer timer.Stop()
		<-timer.C
	}
	if decision.Refuse {
		s.writeJSON(w, caller, http.StatusServiceUnavailable, errorBody{"refused"})
		return false
	}
	return true
}

func (u *Usage) count(operation injector.Operation, limited bool) {
	switch {
	case limited:
		u.Limited++
	case operation.IsWrite():
		u.Writes++
	default:
		u.Reads++
	}
}

type errorBody struct {
	Error string `json:"error"`
}

func (s *Server) writeError(w http.ResponseWriter, caller string, err error) {
	status := http.StatusInternalServerError
	for target, mapped := range map[error]int{
		persister.ErrMissing:   http.StatusNotFound,
		persister.ErrConflict:  http.StatusConflict,
		persister.ErrCompacted: http.StatusGone,
		keeper.ErrInvalid:      http.StatusBadRequest,
	} {
		if errors.Is(err, target) {
			status = mapped
		}
	}
	s.writeJSON(w, caller, status, errorBody{err.Error()})
}

func (s *Server) writeJSON(w http.ResponseWriter, caller string, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	n, _ := w.Write(data)
	s.usages.add(caller, func(u *Usage) { u.Sent += int64(n) })
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Injector.Plan())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var plan injector.Plan
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

// revision returns the revision of a call, which is the parameter "expected" of
// writes or "after" of lists and watches. A get has none.
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

// callerName returns the name in the caller header, or the host of the remote
// address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(persister.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// countingReader counts the bytes of a request body.
type countingReader struct {
	io.ReadCloser
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.n += int64(n)
	return n, err
}
