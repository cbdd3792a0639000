package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	err    error
}

var requests atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%s-%05d", time.Now().Format("150405"), requests.Add(1)) }

// send sends a request on a new connection and reads the answer.
func (l *lab) send(to, method, path string, body []byte, timeout time.Duration) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		a.err = err
		l.note("sent %s %s: no connection", a.id, path)
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	_, a.err = fmt.Fprintf(conn, "%s%s", requestHead(method, path, a.id, timeout, len(body)), body)
	if a.err == nil {
		a.read(conn)
	}
	l.note("sent %s %s %s: %s", a.id, method, path, a)
	return a
}

// requestHead returns the head of a request with a body of the given length.
func requestHead(method, path, id string, timeout time.Duration, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, host, wire["id"], id, wire["deadline"], timeout.Milliseconds(), length)
}

// read reads the answer from a connection.
func (a *answer) read(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return
	}
	data, err := io.ReadAll(response.Body)
	a.status, a.signed, a.body, a.err = response.StatusCode, response.Header.Get(wire["signature"]) != "", string(data), err
}

// String returns the answer as text.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("error: %v", a.err)
	}
	text := fmt.Sprintf("answered %d", a.status)
	if a.signed {
		text += ", signed by a worker"
	}
	return fmt.Sprintf("%s, body %q", text, a.body)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// host is the host of all routes.
const host = "quotes.example"

// configuration returns a document for the store.
func configuration(version int, services []string, routes ...route) map[string]any {
	paths, list := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, wire["prefix"]: r.prefix, "kind": r.kind, "service": r.service, "priority": 1, "max_attempts": 2,
			"timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()), wire["objective"]: "800ms",
		})
	}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits":      map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		wire["hosts"]: []map[string]any{{"host": host, "paths": paths}},
	}
}
