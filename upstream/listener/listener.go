// Package listener limits the connections to an upstream and makes each new
// one cost time, as the upstreams of the deployments do.
package listener

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Listener accepts connections up to a limit; those beyond it wait in the
// operating system's queue until one is closed.
type Listener struct {
	net.Listener
	slots chan struct{}
	delay time.Duration
}

// New listens on address for at most connections at once; each new one is
// delayed.
func New(address netip.AddrPort, connections int, delay time.Duration) (*Listener, error) {
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Listener{Listener: inner, slots: make(chan struct{}, connections), delay: delay}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	time.Sleep(l.delay)
	return &connection{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// connection gives its slot back when it is closed.
type connection struct {
	net.Conn
	release func()
}

// NetConn returns the connection itself.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *connection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
