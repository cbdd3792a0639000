// Package listener accepts callers' connections and enforces limits that can
// change while connections are open: the size of a header, the time until it is
// complete, and the idle time.
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

// Listener holds the limits and the connections that they apply to. An
// http.Server must be set up by Configure and serve a listener returned by
// Wrap.
type Listener struct {
	// ErrorResponse returns the response to a header that is too large (status
	// 431) or not complete in time (status 408). The connection is closed after
	// it.
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
// means no limit. For a connection that is already idle, or whose header is
// being read, limits can only extend the deadline: the caller may have been
// told the earlier idle time.
func (l *Listener) SetLimits(limits sycamorerun.Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if *l.limits.Load() == limits {
		return
	}
	l.limits.Store(&limits)
	for c := range l.conns {
		c.extendDeadline(limits)
	}
}

// Wrap returns a listener that applies the limits to the connections of inner.
func (l *Listener) Wrap(inner net.Listener) net.Listener { return &limitedListener{inner, l} }

// Configure sets the hooks and the handler of a server. The server must have no
// timeouts of its own: net/http reads them without a lock, so they can't change
// while it serves.
func (l *Listener) Configure(server *http.Server) {
	next := server.Handler
	server.ConnState = l.trackState
	server.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, netConn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// trackState is the ConnState hook of the server.
func (l *Listener) trackState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enterPhase(time.Now(), serving, *l.limits.Load())
	case http.StateIdle:
		c.enterPhase(time.Now(), idle, *l.limits.Load())
	}
}

// limitedListener is a net.Listener that applies the limits of a Listener.
type limitedListener struct {
	net.Listener
	limiter *Listener
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.add(inner), nil
}

func (l *Listener) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l, firstRequest: true}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[c] = struct{}{}
	c.enterPhase(time.Now(), readingHeader, *l.limits.Load())
	return c
}

func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}
