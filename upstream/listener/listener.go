// Package listener limits the number of connections to an upstream and delays
// each new one, as the upstreams of the deployments do.
package listener

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Listener accepts connections up to a limit. Further ones wait in the operating
// system's accept queue until a connection is closed.
type Listener struct {
	net.Listener
	slots chan struct{}
	delay time.Duration
}

// New listens on address. It accepts at most connections at the same time and
// delays each new one.
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

// connection releases its slot when it is closed.
type connection struct {
	net.Conn
	release func()
}

// NetConn returns the underlying connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *connection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
