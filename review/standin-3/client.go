package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id, sum   string
	sent      int
	status    int
	signature string
	body      string
	err       error
}

// chunked hides the length of a body, so that it is sent in chunks.
type chunked struct{ io.Reader }

// send sends one request to the outbound address of a machine, on a new connection.
func send(rec *record, n *node, method, path, id string, body []byte, inChunks bool, budget time.Duration) answer {
	var reader io.Reader
	switch {
	case inChunks:
		reader = chunked{bytes.NewReader(body)}
	case len(body) > 0:
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+n.callers+path, reader)
	must(err)
	request.Host = "depot.example"
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, fmt.Sprint(budget.Milliseconds()))
	client := http.Client{Timeout: budget + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	rec.logf("client at %s: sends %s %s %s, body of %d bytes, sha256 %s, in chunks: %t", n.name, id, method, path, len(body), sum(body), inChunks)
	a := answer{id: id, sum: sum(body), sent: len(body)}
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.signature, a.body = response.StatusCode, response.Header.Get(wire.Signature), string(data)
	}
	a.err = err
	rec.logf("client at %s: %s is answered %d, signature %q, %.60q, error %v", n.name, id, a.status, a.signature, a.body, err)
	return a
}

// warmups counts the requests of awaitRoute.
var warmups atomic.Int64

// awaitRoute sends requests until one is answered with success.
func awaitRoute(rec *record, n *node, path string) {
	for range 200 {
		if send(rec, n, http.MethodGet, path, fmt.Sprintf("warm-%d", warmups.Add(1)), nil, false, 2*time.Second).status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(skip("no route " + path + " from " + n.name))
}
