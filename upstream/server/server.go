// Package server is a stand-in upstream: it answers small and slow requests,
// hashes uploads, counts runs of non-idempotent requests, and misbehaves when
// told to.
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
	// HeaderCall carries the id of a caller's attempt, which the response repeats.
	HeaderCall = "X-Call"
	// HeaderReceivedDeadline is the deadline with which the request arrived, in the response.
	HeaderReceivedDeadline = "X-Left"
)

// pathHealth is the path of the health endpoint.
const pathHealth = "/healthz"

// maxSlow bounds the time that a request can ask the upstream to take.
const maxSlow = time.Minute

// Server is the upstream's HTTP handler. Set the fields before use.
type Server struct {
	Name    string
	Service string
	Slots   int
	// Queue is the number of requests that wait for a slot; more are shed.
	Queue int
	Work  time.Duration
	// Work takes Slowdown times as long at Started, which falls to the normal time
	// within Cold.
	Slowdown float64
	Started  time.Time
	Cold     time.Duration
	// Probe is the time that a health probe takes.
	Probe    time.Duration
	Recorder *recorder.Recorder
	// Caller makes the next call of a chain; nil: no chains.
	Caller *Caller
	Now    func() time.Time

	behaviors behaviors
	running   atomic.Int64
	once      sync.Once
	slots     chan struct{}
	queued    atomic.Int64
	// confirmed guards left, whether the node confirmed that the upstream leaves.
	confirmed sync.Mutex
	left      bool
}

// Behavior returns the current behavior.
func (s *Server) Behavior() Behavior { return s.behaviors.get() }

// Behave changes the behavior.
func (s *Server) Behave(next Behavior) {
	if next.State == sycamorerun.StateDraining {
		s.Recorder.Drain(s.Now())
	}
	s.behaviors.set(next)
}

// Handler returns the handler for calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.answer)
	mux.HandleFunc("GET "+pathHealth, s.health)
	mux.HandleFunc("/upload", s.upload)
	mux.HandleFunc("/book", s.book)
	mux.HandleFunc("/run", s.run)
	mux.HandleFunc("/slow", s.slow)
	mux.HandleFunc("GET /bytes", s.bytes)
	mux.HandleFunc("GET /chain/{rest...}", s.chain)
	return s.admit(mux)
}

// Control returns the handler that tests use to steer and read the upstream.
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
		s.Behave(next)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// admit counts the request, applies the behavior and reports the load.
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
		left, err := strconv.Atoi(r.Header.Get(sycamorerun.HeaderDeadline))
		limited := err == nil
		if limited {
			ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
			defer cancel()
			r = r.WithContext(ctx)
		}
		id := r.Header.Get(HeaderCall)
		if behavior.Shed || !s.take(r.Context()) {
			s.Recorder.Shed()
			s.note(recorder.StepShed, id)
			if behavior.Reset && !behavior.Shed {
				reset(r)
			}
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		defer s.release()
		s.Recorder.Start(s.Now())
		if limited && left <= 0 {
			s.Recorder.Expire()
		}
		switch {
		case behavior.Silent:
			<-r.Context().Done()
			expired(w)
			return
		case behavior.Cut:
			panic(http.ErrAbortHandler)
		case r.URL.Path != pathHealth && hits(behavior.Fail, "fail", id):
			http.Error(w, "failing", http.StatusInternalServerError)
			return
		}
		work := s.slowed(s.Work + time.Duration(behavior.Delay)*time.Millisecond)
		if !s.wait(r.Context(), work) {
			expired(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// wait sleeps for d and reports false when the client went away or the deadline
// passed first.
func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.Recorder.Cancel()
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]string{"service": s.Service, "upstream": s.Name, "path": r.URL.RequestURI()})
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.wait(r.Context(), s.Probe)
	if status := s.Behavior().Health; status != 0 {
		w.WriteHeader(status)
	}
}

// upload hashes the body; only a body that arrives whole is recorded.
func (s *Server) upload(w http.ResponseWriter, r *http.Request) {
	digest := sha256.New()
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		s.Recorder.Break()
		panic(http.ErrAbortHandler)
	}
	sum := hex.EncodeToString(digest.Sum(nil))
	s.Recorder.Upload(sum)
	writeJSON(w, map[string]any{"sha256": sum, "bytes": n, "upstream": s.Name})
}

// book counts an execution for the request's key, and answers after the time
// for if it is given: what ran is then not yet known to the caller.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(sycamorerun.HeaderKey)
	if key == "" {
		key = r.URL.Query().Get("key")
	}
	s.Recorder.RecordRun(key)
	if d, err := time.ParseDuration(r.URL.Query().Get("for")); err == nil && !s.wait(r.Context(), min(d, maxSlow)) {
		expired(w)
		return
	}
	writeJSON(w, map[string]string{"booked": key, "upstream": s.Name})
}

func (s *Server) slow(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || d < 0 || d > maxSlow {
		http.Error(w, fmt.Sprintf("for: a duration up to %s", maxSlow), http.StatusBadRequest)
		return
	}
	if !s.wait(r.Context(), d) {
		expired(w)
		return
	}
	s.answer(w, r)
}

// expired answers a request that did not run, since its deadline passed or its
// client went away. An empty answer with status 200 would look like a success.
func expired(w http.ResponseWriter) {
	http.Error(w, "deadline passed", http.StatusGatewayTimeout)
}

// bytes streams a pattern of the asked size, over the time for if it is given.
func (s *Server) bytes(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 0 || size > 1<<30 {
		http.Error(w, "size: 0 to 1073741824", http.StatusBadRequest)
		return
	}
	spread, err := time.ParseDuration(cmp.Or(r.URL.Query().Get("for"), "0s"))
	if err != nil || spread < 0 || spread > maxSlow {
		http.Error(w, fmt.Sprintf("for: a duration up to %s", maxSlow), http.StatusBadRequest)
		return
	}
	block := make([]byte, 32<<10)
	for i := range block {
		block[i] = byte(i)
	}
	pause := spread / time.Duration(1+size/int64(len(block)))
	for size > 0 {
		if !s.wait(r.Context(), pause) {
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
	_ = json.NewEncoder(w).Encode(value) // The client went away.
}
