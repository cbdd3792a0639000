package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sycamorerun/objectstore/injector"
)

// link is a caller's connection.
type link struct {
	opened time.Time
	silent atomic.Bool
}

// linkKey is the key of a link in the context of its calls.
type linkKey struct{}

// Connect is the ConnContext of the HTTP server; without it no call meets
// injector.Silence.
func Connect(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, linkKey{}, &link{opened: time.Now()})
}

// linkOf returns the connection of a call.
func linkOf(r *http.Request) *link {
	if known, ok := r.Context().Value(linkKey{}).(*link); ok {
		return known
	}
	return &link{}
}

// calls are those in progress, with their connections.
type calls struct {
	mu   sync.Mutex
	next uint64
	by   map[uint64]waiting
}

type waiting struct {
	call injector.Call
	link *link
}

// add returns the function that ends the call.
func (c *calls) add(call injector.Call, link *link) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	number := c.next
	if c.by == nil {
		c.by = map[uint64]waiting{}
	}
	c.by[number] = waiting{call, link}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.by, number)
	}
}

// silence marks the connections of waiting calls that are selected, which
// would outlast the plan of faults otherwise.
func (c *calls) silence(selected func(injector.Call) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.by {
		if selected(w.call) {
			w.link.silent.Store(true)
		}
	}
}

// hold keeps a call until its caller gives up.
func hold(r *http.Request) {
	// The server notices that the caller gave up only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// performLate cuts the connection and lets the effect follow.
func (s *Server) performLate(r *http.Request, after time.Duration, perform func(*http.Request) (any, error)) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		later := r.Clone(context.WithoutCancel(r.Context()))
		later.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(after, func() { _, _ = perform(later) }) // Nobody is told.
	}
	panic(http.ErrAbortHandler)
}
