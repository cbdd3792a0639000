package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["early"] = playEarly }

const (
	uploads = 24
	// uploadBytes is the size of an upload, within max_body_bytes.
	uploadBytes = 360_000
	// uploadTime is how long a client takes to send one.
	uploadTime = 600 * time.Millisecond
	// readPause is the time after which the worker reads on.
	readPause = 200 * time.Millisecond
	uploadCap = 6 * time.Second
)

// received is what a worker got of the body of an upload.
type received struct {
	bytes int
	sum   [sha256.Size]byte
	err   error
}

// playEarly lets a worker answer uploads before it has read their bodies.
func playEarly(l *lab) error {
	if err := l.store.putSpec("config", "main", configuration(1, []string{"quote-desk", "survey-store"},
		route{"upload", "/upload/", "upload", "survey-store", 6 * time.Second})); err != nil {
		return err
	}
	var mutex sync.Mutex
	got := map[string]received{}
	finished := make(chan string, uploads)
	handle := func(w *worker) func(*net.TCPConn, *bufio.Reader, *http.Request) bool {
		return func(conn *net.TCPConn, _ *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get(wire["id"])
			w.begin(r)
			answered := true
			if l.trouble {
				answered = w.answer(conn, r, http.StatusOK, w.signature(r), []byte("stored"))
				time.Sleep(readPause)
			}
			data, err := io.ReadAll(r.Body)
			mutex.Lock()
			got[id] = received{len(data), sha256.Sum256(data), err}
			mutex.Unlock()
			l.note("worker %s read %d of %d bytes of %s, error %v", w.id, len(data), r.ContentLength, id, err)
			if !l.trouble {
				answered = w.answer(conn, r, http.StatusOK, w.signature(r), []byte("stored"))
			}
			finished <- id
			return answered && err == nil
		}
	}
	var nodes []*node
	for _, place := range []struct{ name, zone, region, service string }{
		{"sidecar-kgl-a-1", "kgl-a", "kigali", "quote-desk"},
		{"sidecar-kgl-b-1", "kgl-b", "kigali", "survey-store"},
	} {
		w, err := l.startWorker("i-"+place.zone, place.service, place.zone, workTime)
		if err != nil {
			return err
		}
		w.handle = handle(w)
		n, err := l.addNode(place.name, place.zone, place.region, place.service, w.address, 0)
		if err != nil {
			return err
		}
		go w.keepAnnouncing(n)
		nodes = append(nodes, n)
	}
	if !l.awaitReady(15 * time.Second) {
		return errNotReady
	}
	time.Sleep(3 * time.Second)
	answers := map[string]answer{}
	sums := map[string][sha256.Size]byte{}
	for i := range uploads {
		body := bytes.Repeat(fmt.Appendf(nil, "photo %02d ", i), uploadBytes/9)
		a := l.upload(nodes[i%2].callers, "/upload/1", body)
		answers[a.id], sums[a.id] = a, sha256.Sum256(body)
	}
	for range uploads {
		select {
		case <-finished:
		case <-time.After(3 * time.Second):
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	for id, a := range answers {
		r, ran := got[id]
		if a.err == nil && a.status/100 == 2 && (!ran || r.sum != sums[id]) {
			l.breach("UNASKED: upload %s was %s, but its worker got %d of %d bytes, error %v", id, a, r.bytes, uploadBytes, r.err)
		}
	}
	return nil
}

// upload sends a request with a body over uploadTime and reads the answer meanwhile.
func (l *lab) upload(to, path string, body []byte) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadCap + time.Second))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		a.read(conn)
	}()
	_, err = conn.Write([]byte(requestHead(http.MethodPost, path, a.id, uploadCap, len(body))))
	const parts = 30
	sent := 0
	for i := 1; i <= parts && err == nil; i++ {
		var n int
		n, err = conn.Write(body[sent : len(body)*i/parts])
		sent += n
		time.Sleep(uploadTime / parts)
	}
	<-answered
	l.note("sent %s POST %s, %d of %d bytes, write error %v: %s", a.id, path, sent, len(body), err, a)
	return a
}
