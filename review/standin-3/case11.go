package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// resentUpload sends uploads from machine a to the worker beside machine b. While the
// worker keeps one of them in its queue and then rejects it, the open connections between
// the two machines go silent.
func resentUpload(c *setup) []string {
	address := c.store.serve()
	c.store.put("config", "main", wire.Document)
	a := c.fleet.add("side-a", "barbours-cut", "gulf-coast", "dispatch-desk", address)
	b := c.fleet.add("side-b", "garden-city", "atlantic-se", "box-records", address)
	var proxies []*proxy
	for _, n := range []*node{a, b} {
		n.listenPeers = freeAddress()
		p := &proxy{to: n.listenPeers, delay: 20 * time.Millisecond}
		p.serve(n.peers)
		proxies = append(proxies, p)
	}
	c.fleet.start(a)
	c.fleet.start(b)
	c.fleet.awaitReady(a)
	c.fleet.awaitReady(b)
	startWorker(c.record, a, "i-desk")
	records := startWorker(c.record, b, "i-records")
	var full atomic.Bool
	queued := make(chan struct{}, 1)
	records.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		if !full.Load() || r.Method != http.MethodPost {
			return false
		}
		full.Store(false)
		c.record.logf("worker i-records: is full, %s waits in its queue", r.Header.Get(wire.RequestID))
		queued <- struct{}{}
		time.Sleep(500 * time.Millisecond)
		records.reject(w, r)
		return true
	}
	for range 3 {
		awaitRoute(c.record, a, "/history/1")
	}
	body := bytes.Repeat([]byte("photo data 0123456789 abcdef\n"), 2000)
	sent := map[string]answer{}
	upload := func(id string) {
		sent[id] = send(c.record, a, http.MethodPost, "/photos/"+id, id, body, true, 5*time.Second)
	}
	upload("before")
	full.Store(true)
	done := make(chan struct{})
	go func() {
		upload("upload")
		close(done)
	}()
	select {
	case <-queued:
	case <-time.After(5 * time.Second):
		panic(skip("the upload did not reach the worker"))
	}
	if c.trouble {
		time.Sleep(100 * time.Millisecond)
		c.record.logf("the open connections between side-a and side-b go silent")
		for _, p := range proxies {
			p.silence()
		}
	}
	<-done
	// The client sends once more what was promised not to have run.
	if sent["upload"].status == http.StatusServiceUnavailable {
		upload("again")
	}
	time.Sleep(time.Second)
	var broken []string
	for _, each := range records.allRuns() {
		if request, ok := sent[each.id]; ok && each.sum != request.sum {
			broken = append(broken, fmt.Sprintf("UNASKED: the worker ran %s with a body of %d bytes (sha256 %s), its client sent %d (sha256 %s) and was answered %d",
				each.id, each.bytes, each.sum, request.sent, request.sum, request.status))
		}
	}
	return broken
}
