// Package server implements a stand-in upstream. It answers small and slow
// requests, hashes uploads, counts runs of non-idempotent requests, and injects
// faults on demand.
package server

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sycamorerun"
	"sycamorerun/upstream/recorder"
)

// Headers of the stand-in's answers.
const (
	HeaderUpstream = "X-Upstream"
	HeaderLoad     = "X-Load"
	// HeaderCall has the id of a caller's attempt in the request and the response.
	HeaderCall = "X-Call"
	// HeaderReceivedDeadline has, in the response, the deadline header of the
	// request.
	HeaderReceivedDeadline = "X-Left"
)

// pathHealth is the path of the health endpoint.
const pathHealth = "/healthz"

// maxWork bounds the execution time that a request can ask for.
const maxWork = time.Minute

// Server is the upstream's HTTP handler. Set the fields before use.
type Server struct {
	Name    string
	Service string
	Slots   int
	// Queue is the number of requests that can wait for a slot. Further ones are
	// shed.
	Queue int
	// Work is the execution time of each request.
	Work time.Duration
	// Slowdown is the factor by which executions take longer at Started. It falls
	// linearly to 1 within Cold.
	Slowdown float64
	// Started is the start of the upstream, and Cold is how long it is cold.
	Started time.Time
	Cold    time.Duration
	// Probe is the time that a health probe takes.
	Probe    time.Duration
	Recorder *recorder.Recorder
	// Caller sends the next call of a chain. If it is nil, chain calls with a next
	// upstream fail.
	Caller *Caller
	Now    func() time.Time

	behavior  behaviorState
	running   atomic.Int64
	initSlots sync.Once
	slots     chan struct{}
	queued    atomic.Int64
	// stateMutex guards leaving, which is set while the state that the node
	// confirmed last is draining or left.
	stateMutex sync.Mutex
	leaving    bool
}

// Behavior returns the current behavior.
func (s *Server) Behavior() Behavior { return s.behavior.get() }

// SetBehavior replaces the behavior. The first change to draining is recorded as
// the start of the drain.
func (s *Server) SetBehavior(next Behavior) {
	if next.State == sycamorerun.StateDraining {
		s.Recorder.RecordDrain(s.Now())
	}
	s.behavior.set(next)
}

// Handler returns the handler for the node's calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.echo)
	mux.HandleFunc("GET "+pathHealth, s.health)
	mux.HandleFunc("/upload", s.upload)
	mux.HandleFunc("/book", s.book)
	mux.HandleFunc("/run", s.run)
	mux.HandleFunc("/slow", s.slow)
	mux.HandleFunc("GET /bytes", s.bytes)
	mux.HandleFunc("GET /chain/{rest...}", s.chain)
	return s.admit(mux)
}

// Control returns the handler with which tests control the upstream and read its
// records.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		records := s.Recorder.Records()
		records.Running = int(s.running.Load())
		writeJSON(w, records)
	})
	mux.HandleFunc("GET /behavior", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Behavior())
	})
	mux.HandleFunc("PUT /behavior", func(w http.ResponseWriter, r *http.Request) {
		next := s.Behavior()
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetBehavior(next)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// admit waits for a slot, records the request, reports the load and applies the
// behavior.
func (s *Server) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		behavior := s.Behavior()
		running := s.running.Add(1)
		defer s.running.Add(-1)
		load := float64(running) / float64(s.Slots)
		if behavior.Load > 0 {
			load = behavior.Load
		}
		w.Header().Set(HeaderUpstream, s.Name)
		if id := r.Header.Get(sycamorerun.HeaderRequest); id != "" {
			w.Header().Set(sycamorerun.HeaderRequest, id)
		}
		w.Header().Set(HeaderLoad, strconv.FormatFloat(load, 'f', 3, 64))
		remaining, err := strconv.Atoi(r.Header.Get(sycamorerun.HeaderDeadline))
		hasDeadline := err == nil
		if hasDeadline {
			ctx, cancel := context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
			defer cancel()
			r = r.WithContext(ctx)
		}
		id := r.Header.Get(HeaderCall)
		if behavior.Shed || !s.acquireSlot(r.Context()) {
			s.Recorder.RecordShed()
			s.logEvent(recorder.StepShed, id)
			if behavior.Reset && !behavior.Shed {
				resetConnection(r)
			}
			if behavior.Hang && !behavior.Shed {
				hangConnection(w)
				return
			}
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		defer s.releaseSlot()
		s.Recorder.RecordStart(s.Now())
		if hasDeadline && remaining <= 0 {
			s.Recorder.RecordExpired()
		}
		switch {
		case behavior.Silent:
			<-r.Context().Done()
			writeExpired(w)
			return
		case behavior.Cut:
			panic(http.ErrAbortHandler)
		case r.URL.Path != pathHealth && inShare(behavior.Fail, "fail", id):
			http.Error(w, "failing", http.StatusInternalServerError)
			return
		}
		work := s.withSlowdown(s.Work + time.Duration(behavior.Delay)*time.Millisecond)
		if !s.sleep(r.Context(), work) {
			writeExpired(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits for d. It returns false if the client disconnects or the deadline
// passes first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.Recorder.RecordCancelled()
		return false
	}
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]string{"service": s.Service, "upstream": s.Name, "path": r.URL.RequestURI()})
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.sleep(r.Context(), s.Probe)
	if status := s.Behavior().Health; status != 0 {
		w.WriteHeader(status)
	}
}

// upload hashes the body and records the hash if the body arrives completely.
func (s *Server) upload(w http.ResponseWriter, r *http.Request) {
	digest := sha256.New()
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		s.Recorder.RecordBrokenUpload()
		panic(http.ErrAbortHandler)
	}
	sum := hex.EncodeToString(digest.Sum(nil))
	s.Recorder.RecordUpload(sum)
	writeJSON(w, map[string]any{"sha256": sum, "bytes": n, "upstream": s.Name})
}

// book records a run for the request's key. If the parameter "for" is given, it
// answers only after that time, so that the caller doesn't know yet whether the
// request ran.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(sycamorerun.HeaderKey)
	if key == "" {
		key = r.URL.Query().Get("key")
	}
	s.Recorder.RecordRun(key)
	if d, err := time.ParseDuration(r.URL.Query().Get("for")); err == nil && !s.sleep(r.Context(), min(d, maxWork)) {
		writeExpired(w)
		return
	}
	writeJSON(w, map[string]string{"booked": key, "upstream": s.Name})
}

func (s *Server) slow(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || d < 0 || d > maxWork {
		http.Error(w, fmt.Sprintf("for: a duration up to %s", maxWork), http.StatusBadRequest)
		return
	}
	if !s.sleep(r.Context(), d) {
		writeExpired(w)
		return
	}
	s.echo(w, r)
}

// writeExpired answers a request that was aborted because its deadline passed or
// its client disconnected. An empty answer with status 200 would look like a
// success.
func writeExpired(w http.ResponseWriter) {
	http.Error(w, "deadline passed", http.StatusGatewayTimeout)
}

// bytes streams a pattern of "size" bytes. If the parameter "for" is given, the
// response is spread over that time.
func (s *Server) bytes(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 0 || size > 1<<30 {
		http.Error(w, "size: 0 to 1073741824", http.StatusBadRequest)
		return
	}
	duration, err := time.ParseDuration(cmp.Or(r.URL.Query().Get("for"), "0s"))
	if err != nil || duration < 0 || duration > maxWork {
		http.Error(w, fmt.Sprintf("for: a duration up to %s", maxWork), http.StatusBadRequest)
		return
	}
	block := make([]byte, 32<<10)
	for i := range block {
		block[i] = byte(i)
	}
	pause := duration / time.Duration(1+size/int64(len(block)))
	for size > 0 {
		if !s.sleep(r.Context(), pause) {
			panic(http.ErrAbortHandler)
		}
		part := block[:min(size, int64(len(block)))]
		if _, err := w.Write(part); err != nil {
			return
		}
		size -= int64(len(part))
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // Fails only if the client disconnected.
}
