// Package listener accepts callers' connections and holds them to limits that
// can change while they are open: the size of a header, the time until it is
// there, and the time without a request.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sycamorerun"
)

// Listener keeps the limits and the connections that they apply to. An
// http.Server that Serve has prepared serves On.
type Listener struct {
	// ErrorResponse returns the response to a header that is too large (status 431) or
	// not there in time (408). The connection is closed after it.
	ErrorResponse func(status int) []byte

	limits atomic.Pointer[sycamorerun.Limits]
	mutex  sync.Mutex
	conns  map[*conn]struct{}
}

// New returns a Listener without limits.
func New() *Listener {
	l := &Listener{conns: map[*conn]struct{}{}}
	l.limits.Store(&sycamorerun.Limits{})
	return l
}

// SetLimits applies limits to all requests that begin from now on. A zero field
// means no limit. A connection that is idle already, or whose header is being
// read, gets more time from longer limits and keeps its time under shorter ones:
// its caller may have been told of it.
func (l *Listener) SetLimits(limits sycamorerun.Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if *l.limits.Load() == limits {
		return
	}
	l.limits.Store(&limits)
	for c := range l.conns {
		c.extend(limits)
	}
}

// Wrap returns a listener whose connections are those of inner under the limits.
func (l *Listener) Wrap(inner net.Listener) net.Listener { return &accepting{inner, l} }

// Configure prepares a server, which must have no timeouts of its own: net/http reads
// them without a lock, so that they can't change while it serves.
func (l *Listener) Configure(server *http.Server) {
	next := server.Handler
	server.ConnState = l.track
	server.ConnContext = func(ctx context.Context, of net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, of)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// track is the hook ConnState of the server.
func (l *Listener) track(of net.Conn, state http.ConnState) {
	c, ok := of.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(time.Now(), serving, *l.limits.Load())
	case http.StateIdle:
		c.enter(time.Now(), resting, *l.limits.Load())
	}
}

// accepting is a net.Listener under the limits of a Listener.
type accepting struct {
	net.Listener
	limits *Listener
}

// Accept implements net.Listener.
func (a *accepting) Accept() (net.Conn, error) {
	inner, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.limits.add(inner), nil
}

func (l *Listener) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l, fresh: true}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[c] = struct{}{}
	c.enter(time.Now(), reading, *l.limits.Load())
	return c
}

func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}
