package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// dialWait bounds the time for a connection to the upstream, which runs on the
// same instance.
const dialWait = 2 * time.Second

// Transport returns a transport to the upstream at address that keeps at most
// connections open.
func Transport(address netip.AddrPort, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialWait}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address.String())
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        90 * time.Second,
		MaxResponseHeaderBytes: headerBytes,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}
}

// countedConn counts writes, so that a request of which nothing was written is
// known not to have run.
type countedConn struct {
	net.Conn
	writes atomic.Uint64
}

// Write implements net.Conn. It counts before it writes, since a write that
// fails may have delivered something.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// trace observes whether any byte of a request was written.
type trace struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Uint64
	// blind is set when a connection does not count its writes.
	blind atomic.Bool
	spent atomic.Bool
}

// with returns ctx with the trace installed.
func (t *trace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if t.written() {
			t.spent.Store(true)
		}
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			t.blind.Store(true)
			return
		}
		t.before.Store(conn.writes.Load())
		t.conn.Store(conn)
	}})
}

// written reports whether a part of the request may have reached the upstream.
func (t *trace) written() bool {
	if t.blind.Load() || t.spent.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.writes.Load() > t.before.Load()
}

// refused reports whether err is a failed dial.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
