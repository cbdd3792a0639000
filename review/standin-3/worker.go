package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker ran.
type run struct {
	id, method, path, caller string
	bytes                    int
	sum                      string
	// arrived is when the header had arrived.
	arrived time.Time
}

// worker is a stand-in for an application worker.
type worker struct {
	record             *record
	node               *node
	id, zone           string
	born               int64
	state              string
	handle             func(w http.ResponseWriter, r *http.Request, body []byte) bool
	mutex              sync.Mutex
	sequence           int
	runs               []run
	server             *http.Server
	stopped            chan struct{}
	stopOnce           sync.Once
	beats, beatsFailed int
}

func startWorker(rec *record, n *node, id string) *worker {
	w := &worker{record: rec, node: n, id: id, zone: n.zone, born: time.Now().UnixMilli(), state: "ready", stopped: make(chan struct{})}
	l, err := net.Listen("tcp", n.app)
	must(err)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.announce()
	return w
}

func (w *worker) announce() {
	for {
		w.beat()
		select {
		case <-w.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends a heartbeat and reports whether it was confirmed.
func (w *worker) beat() bool {
	w.mutex.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.node.service, "address": w.node.app, "zone": w.zone, "version": "v1", "slots": 6,
		"state": w.state, wire.ColdLeft: "0ms", "seq": w.sequence, "born": w.born,
	})
	w.mutex.Unlock()
	request, _ := http.NewRequest(http.MethodPut, "http://"+w.node.announcements+wire.Instances+w.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func sum(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body))[:16] }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set(wire.InstanceID, w.id)
		return
	}
	if target := r.Header.Get(wire.Target); target != "" && target != w.id {
		out.Header().Set(wire.InstanceID, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, arrived := r.Header.Get(wire.RequestID), time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.record.logf("worker %s: request %s broke off after %d bytes of its body, not run", w.id, id, len(body))
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(wire.RequestID, id)
	if w.handle != nil && w.handle(out, r, body) {
		return
	}
	w.mutex.Lock()
	w.runs = append(w.runs, run{id, r.Method, r.URL.RequestURI(), r.Header.Get(wire.Caller), len(body), sum(body), arrived})
	w.mutex.Unlock()
	w.record.logf("worker %s: runs %s %s %s, body of %d bytes, sha256 %s, header had arrived %.3f s before", w.id, id, r.Method, r.URL.RequestURI(), len(body), sum(body), time.Since(arrived).Seconds())
	out.Header().Set(wire.Signature, "s."+id)
	_, _ = fmt.Fprintf(out, "done %s\n", id)
}

// reject answers that the request was not run.
func (w *worker) reject(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(wire.Unexecuted, "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	w.record.logf("worker %s: rejects %s with 503, not executed", w.id, r.Header.Get(wire.RequestID))
}

func (w *worker) allRuns() []run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]run(nil), w.runs...)
}
