// Package listener accepts callers' connections and enforces limits that can
// change while connections are open: the size of a header, the time until it is
// complete, and the idle time.
package listener

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sycamorerun"
	"sycamorerun/node/governor"
)

// Listener holds the limits and the connections that they apply to. An
// http.Server must be set up by Configure and serve a listener returned by
// Wrap.
type Listener struct {
	// ErrorResponse returns the response to a header that is too large (status
	// 431), not complete in time (status 408) or not read for want of room (status
	// 503). The connection is closed after it.
	ErrorResponse func(status int) []byte
	// Door accounts for what the connections hold. Nil means no account.
	Door *governor.Door
	// BodyHeld is how many bytes of a request body the handler holds at most.
	BodyHeld int
	// BodyTimeout bounds the time from the end of a header to the end of the body.
	// Zero means that the handler bounds it.
	BodyTimeout time.Duration

	limits atomic.Pointer[sycamorerun.Limits]
	mutex  sync.Mutex
	conns  map[*conn]struct{}
}

// New returns a Listener without limits.
func New() *Listener {
	l := &Listener{ErrorResponse: plainResponse, BodyHeld: defaultBodyHeld, conns: map[*conn]struct{}{}}
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
			defer c.accountStream(r)()
		}
		if l.BodyTimeout > 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.BodyTimeout))
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
		now := time.Now()
		c.enterPhase(now, serving, *l.limits.Load())
		c.hold(func(h *governor.Holder) { h.Begin(now) })
	case http.StateIdle:
		now := time.Now()
		c.enterPhase(now, idle, *l.limits.Load())
		c.hold(func(h *governor.Holder) { h.End(now) })
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
	c := l.limiter.add(inner)
	c.hold((*governor.Holder).AwaitDescriptors)
	return c, nil
}

func (l *Listener) add(inner net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: inner, listener: l, firstRequest: true}
	l.mutex.Lock()
	l.conns[c] = struct{}{}
	c.enterPhase(now, readingHeader, *l.limits.Load())
	l.mutex.Unlock()
	if l.Door != nil {
		c.holder = l.Door.Open(now, remoteAddress(inner), c.evict)
	}
	return c
}

// remoteAddress returns the address of the caller, or the zero address if it has
// none.
func remoteAddress(inner net.Conn) netip.Addr {
	remote, err := netip.ParseAddrPort(inner.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}

// plainResponse is the ErrorResponse of a new Listener.
func plainResponse(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}
