// Package connector keeps sessions with peers: TCP, optionally mutual TLS 1.3,
// a hello exchange, and yamux streams that are told apart by kind. Either end
// of a session opens streams on it.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// ErrClosed means that the connector does not run.
var ErrClosed = errors.New("connector closed")

// Handler serves one inbound stream, which is closed when it returns. ctx ends
// with the session.
type Handler = func(ctx context.Context, from Peer, stream net.Conn)

type phase int

const (
	idle phase = iota
	running
	stopped
)

// Connector opens and accepts sessions. The exported fields are set before
// Bind or Run, but for Self.Address, which may follow Bind.
type Connector struct {
	Self Peer
	// TLS holds this node's certificate and the cluster's CA as RootCAs. Nil
	// means plain TCP, for tests.
	TLS      *tls.Config
	Listen   netip.AddrPort
	Handlers map[string]Handler
	Logger   log.Logger
	Scope    tally.Scope
	Limits   Limits

	limits  Limits
	metrics *metrics
	// streams ends after the drain and is the parent of the handlers' contexts.
	streams  context.Context
	cancel   context.CancelFunc
	listener net.Listener
	// slots and handshakes bound the inbound sessions.
	slots, handshakes chan struct{}

	mu    sync.Mutex
	phase phase
	// sessions maps the addresses that peers announce. The last session of
	// a list takes the new streams.
	sessions map[netip.AddrPort][]*session
	// aliases maps dialled addresses to announced ones where they differ.
	aliases map[netip.AddrPort]netip.AddrPort
	targets map[netip.AddrPort]*target
}

// Bind starts to listen and returns the address, for a Listen with port zero.
// Open works from then on. Run binds by itself otherwise.
func (c *Connector) Bind() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	c.listener = listener
	c.start()
	return netip.ParseAddrPort(listener.Addr().String())
}

// Run accepts sessions until ctx ends. It then tells all peers that it accepts
// no more streams and waits for those in flight.
func (c *Connector) Run(ctx context.Context) error {
	if c.listener == nil {
		if _, err := c.Bind(); err != nil {
			return err
		}
	}
	defer c.cancel()
	go c.sweep(c.streams)
	stop := context.AfterFunc(ctx, func() { _ = c.listener.Close() })
	defer stop()
	for {
		conn, err := c.listener.Accept()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			// Out of descriptors, for example. Accepting again at once would
			// spin.
			level.Warn(c.Logger).Log("msg", "accept failed", "err", err)
			time.Sleep(backoffLeast)
			continue
		}
		c.admit(conn)
	}
	c.drain()
	return nil
}

func (c *Connector) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	c.limits = c.Limits.withDefaults()
	c.metrics = newMetrics(c.Scope)
	c.streams, c.cancel = context.WithCancel(context.Background())
	c.slots = make(chan struct{}, c.limits.Sessions)
	c.handshakes = make(chan struct{}, c.limits.Handshakes)
	c.sessions = map[netip.AddrPort][]*session{}
	c.aliases = map[netip.AddrPort]netip.AddrPort{}
	c.targets = map[netip.AddrPort]*target{}
	c.phase = running
}

// admit serves an inbound connection unless too many are open.
func (c *Connector) admit(conn net.Conn) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.metrics.rejected("sessions")
		_ = conn.Close()
		return
	}
	select {
	case c.handshakes <- struct{}{}:
	default:
		<-c.slots
		c.metrics.rejected("handshakes")
		_ = conn.Close()
		return
	}
	go c.welcome(conn)
}

func (c *Connector) welcome(conn net.Conn) {
	defer func() { <-c.slots }()
	ctx, cancel := context.WithTimeout(c.streams, c.limits.Dial)
	s, err := c.establish(ctx, conn, false)
	cancel()
	<-c.handshakes
	if err == nil {
		err = c.register(s, netip.AddrPort{})
	}
	if err != nil {
		c.metrics.rejected("handshake")
		level.Debug(c.Logger).Log("msg", "inbound session rejected", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	c.accept(s)
}

// drain waits until no stream is open or the drain time has passed.
func (c *Connector) drain() {
	c.mu.Lock()
	c.phase = stopped
	c.mu.Unlock()
	for _, s := range c.all() {
		go s.mux.GoAway()
	}
	deadline := time.Now().Add(c.limits.Drain)
	for time.Now().Before(deadline) && c.inFlight() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range c.all() {
		c.closeSession(s, "shutdown")
	}
}

func (c *Connector) inFlight() int {
	streams := 0
	for _, s := range c.all() {
		streams += s.mux.NumStreams()
	}
	return streams
}

// Open opens a stream to the peer at an address over a live session, or over
// a new one. It fails at once while dials to the peer back off.
func (c *Connector) Open(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
	// The second round uses the session that the first one dialled, the third
	// one covers a session that ends in between.
	for range 3 {
		for _, s := range c.candidates(time.Now(), to) {
			conn, err := s.open(kind)
			if err == nil {
				return c.wrap(s, conn, kind), nil
			}
			level.Debug(c.Logger).Log("msg", "stream not opened", "peer", s.peer.Name, "kind", kind, "err", err)
		}
		if err := c.dial(ctx, to); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("sessions to %s end before a stream is open", to)
}

// Sessions returns the number of open sessions.
func (c *Connector) Sessions() int {
	return len(c.all())
}
