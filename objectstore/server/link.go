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

// connection is the state of a caller's connection.
type connection struct {
	opened time.Time
	silent atomic.Bool
}

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// ConnContext must be set as ConnContext of the HTTP server. Without it,
// injector.Silence affects no call.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{opened: time.Now()})
}

// connectionOf returns the connection of a call, or a new one when ConnContext
// is not set.
func connectionOf(r *http.Request) *connection {
	if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return conn
	}
	return &connection{}
}

// inFlightCalls tracks the calls in flight and their connections.
type inFlightCalls struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]inFlightCall
}

type inFlightCall struct {
	call injector.Call
	conn *connection
}

// add registers a call and returns the function that removes it.
func (c *inFlightCalls) add(call injector.Call, conn *connection) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id := c.lastID
	if c.byID == nil {
		c.byID = map[uint64]inFlightCall{}
	}
	c.byID[id] = inFlightCall{call, conn}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.byID, id)
	}
}

// silence marks the connections of the selected calls in flight as silent.
// Otherwise such a call could outlast the plan and be answered.
func (c *inFlightCalls) silence(selected func(injector.Call) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, inFlight := range c.byID {
		if selected(inFlight.call) {
			inFlight.conn.silent.Store(true)
		}
	}
}

// waitForDisconnect blocks until the caller gives up.
func waitForDisconnect(r *http.Request) {
	// The server detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// performDetached closes the connection without an answer and executes the call
// after delay.
func (s *Server) performDetached(r *http.Request, delay time.Duration, perform func(*http.Request) (any, error)) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		detached := r.Clone(context.WithoutCancel(r.Context()))
		detached.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay, func() { _, _ = perform(detached) }) // The caller is gone, so the result is discarded.
	}
	panic(http.ErrAbortHandler)
}
