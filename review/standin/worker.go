package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// prefix begins the names of the platform's headers.
const prefix = "Sycamorerun-"

// run is a request that a worker has run.
type run struct {
	at               time.Time
	worker, id, path string
	caller           string
}

// worker is a sound application worker.
type worker struct {
	id, service, address string
	work                 time.Duration
	born                 int64
	lab                  *lab
	node                 *node
	sequence             atomic.Int64
	active               atomic.Int64
	// lost counts the requests of a worker that loses two of five answers: it runs
	// the request and closes the connection. It is nil for a sound worker.
	lost      *atomic.Int64
	stopBeats chan struct{}
	once      sync.Once
}

// ServeHTTP runs requests.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	header := out.Header()
	id := r.Header.Get(prefix + "Request-Id")
	if target := r.Header.Get(prefix + "Target-Instance"); target != "" && target != w.id {
		header.Set(prefix+"Request-Id", id)
		header.Set(prefix+"Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		header.Set(prefix+"Instance-Id", w.id)
		return
	}
	w.lab.recordRun(run{time.Now(), w.id, id, r.RequestURI, r.Header.Get(prefix + "Caller-Service")}, r.Method, len(body))
	running := w.active.Add(1)
	defer w.active.Add(-1)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	if w.lost != nil && w.lost.Add(1)%5 < 2 {
		w.lab.note("the answer of %s to %s is lost", w.id, id)
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	header.Set(prefix+"Request-Id", id)
	header.Set(prefix+"Response-Signature", "s."+id)
	header.Set(prefix+"Server-Load", fmt.Sprintf("%d,0,6", running))
	text := "from " + w.id + " for " + id + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(out, text)
}

// heartbeat returns the worker's next report.
func (w *worker) heartbeat(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.node.zone, "version": "v1", "slots": 6, "state": state,
		"cold" + "_remaining": "0ms", "seq": w.sequence.Add(1), "born": w.born,
	}
}

// report sends a report about id to a node and returns the status, or 0.
func (n *node) report(method, id string, body any) int {
	encoded, err := json.Marshal(body)
	check(err)
	if body == nil {
		encoded = nil
	}
	request, err := http.NewRequest(method, "http://"+n.control+"/instances"+"/"+id, bytes.NewReader(encoded))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// beat sends heartbeats until stopBeats is closed.
func (w *worker) beat() {
	for {
		report := w.heartbeat("ready")
		w.lab.note("heartbeat %v of %s to %s: %d", report["seq"], w.id, w.node.name, w.node.report(http.MethodPut, w.id, report))
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-w.stopBeats:
			return
		}
	}
}

func (w *worker) endBeats() { w.once.Do(func() { close(w.stopBeats) }) }
