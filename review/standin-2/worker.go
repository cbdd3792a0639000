package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// slots is the number of requests that a worker runs at a time.
const slots = 6

// runRecord is what a worker did with a request.
type runRecord struct {
	id, worker string
	at         time.Time
}

// worker is a stand-in for an application worker.
type worker struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	// handle replaces the plain handling of a request if it is set. It returns
	// whether the connection stays open.
	handle func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request) bool
	lab    *lab

	listener net.Listener
	running  atomic.Int64
	seq      atomic.Int64
	mutex    sync.Mutex
	runs     []runRecord
	stop     chan struct{}
}

// startWorker starts a worker on a free port.
func (l *lab) startWorker(id, service, zone string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		work: work, lab: l, listener: listener, stop: make(chan struct{}),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn.(*net.TCPConn))
		}
	}()
	return w, nil
}

func (w *worker) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		handle := w.plain
		if w.handle != nil {
			handle = w.handle
		}
		if !handle(conn, reader, r) {
			return
		}
	}
}

// begin records that the worker began to work on a request.
func (w *worker) begin(r *http.Request) {
	id := r.Header.Get(wire["id"])
	w.lab.note("run %s at %s", id, w.id)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs = append(w.runs, runRecord{id, w.id, time.Now()})
}

// plain reads the whole request, works and answers.
func (w *worker) plain(conn *net.TCPConn, _ *bufio.Reader, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if target := r.Header.Get(wire["target"]); target != "" && target != w.id {
		return w.answer(conn, r, http.StatusMisdirectedRequest, wire["instance"]+": "+w.id+"\r\n", nil)
	}
	if w.running.Add(1) > slots {
		w.running.Add(-1)
		return w.answer(conn, r, http.StatusServiceUnavailable, wire["unexecuted"]+": 1\r\n", nil)
	}
	w.begin(r)
	time.Sleep(w.work)
	w.running.Add(-1)
	return w.answer(conn, r, http.StatusOK, w.signature(r), fmt.Appendf(nil, "%d bytes", len(body)))
}

// signature returns the header that only answers of a run have.
func (w *worker) signature(r *http.Request) string {
	return wire["signature"] + ": " + w.id + "." + r.Header.Get(wire["id"]) + "\r\n"
}

// answer writes an answer and reports whether that succeeded.
func (w *worker) answer(conn *net.TCPConn, r *http.Request, status int, header string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), wire["id"], r.Header.Get(wire["id"]), header, wire["load"], w.running.Load(), slots, len(body))
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

// announce sends one heartbeat to the node beside the worker and reports whether it
// was confirmed.
func (w *worker) announce(n *node, state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": state,
		wire["cold"]: "0ms", "seq": w.seq.Add(1), "born": w.born,
	})
	request, err := http.NewRequest(http.MethodPut, "http://"+n.control+wire["instances"]+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// keepAnnouncing sends a heartbeat every 1.5 s until stop is closed.
func (w *worker) keepAnnouncing(n *node) {
	for {
		wait := 1500 * time.Millisecond
		if !w.announce(n, "ready") {
			wait = 100 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
		}
	}
}
