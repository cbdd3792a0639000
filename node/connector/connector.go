// Package connector manages sessions with peers. A session is a TCP connection,
// optionally with mutual TLS 1.3, that starts with a hello exchange and carries
// yamux streams of several kinds. Either end of a session can open streams.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// ErrClosed means that the connector is not running.
var ErrClosed = errors.New("connector closed")

// Handler serves one inbound stream, which is closed when the handler returns.
// ctx is canceled when the session ends.
type Handler = func(ctx context.Context, from Peer, stream net.Conn)

type phase int

const (
	idle phase = iota
	running
	stopped
)

// Connector opens and accepts sessions. Set the exported fields before Bind or
// Run; only Self.Address may be set after Bind.
type Connector struct {
	Self Peer
	// TLS holds this node's certificate, and the cluster's CA as RootCAs. Nil
	// means plain TCP, which is meant for tests.
	TLS      *tls.Config
	Listen   netip.AddrPort
	Handlers map[string]Handler
	// SessionOpened is called with the number of a session before the peer learns it,
	// and SessionClosed after the session has ended and the handlers of its streams
	// have returned. They are nil if nobody needs to know.
	SessionOpened, SessionClosed func(number uint64)

	Logger log.Logger
	Scope  tally.Scope
	Limits Limits

	limits  Limits
	metrics *metrics
	// lastSession is the number of the newest session.
	lastSession atomic.Uint64
	// streamCtx is the parent of the handlers' contexts. It is canceled after the
	// drain.
	streamCtx context.Context
	cancel    context.CancelFunc
	listener  net.Listener
	// sessionSlots and handshakeSlots are semaphores for inbound sessions.
	sessionSlots, handshakeSlots chan struct{}

	mu    sync.Mutex
	phase phase
	// sessions holds the sessions of each announced peer address. New streams go
	// to the last session of a list.
	sessions map[netip.AddrPort][]*session
	// aliases maps dialled addresses to announced addresses where they differ.
	aliases map[netip.AddrPort]netip.AddrPort
	targets map[netip.AddrPort]*target
}

// Bind starts listening and returns the actual address, which differs from
// Listen if its port is zero. Open can be used afterwards. Run calls Bind if the
// caller did not.
func (c *Connector) Bind() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	c.listener = listener
	c.start()
	return netip.ParseAddrPort(listener.Addr().String())
}

// Run accepts sessions until ctx is canceled. It then tells all peers that it
// accepts no more streams, and waits for the streams in flight.
func (c *Connector) Run(ctx context.Context) error {
	if c.listener == nil {
		if _, err := c.Bind(); err != nil {
			return err
		}
	}
	defer c.cancel()
	go c.sweep(c.streamCtx)
	stop := context.AfterFunc(ctx, func() { _ = c.listener.Close() })
	defer stop()
	for {
		conn, err := c.listener.Accept()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			// The process may be out of file descriptors. Retrying without a delay
			// would busy-loop.
			level.Warn(c.Logger).Log("msg", "accepting a connection failed; retrying after a delay", "err", err)
			time.Sleep(minBackoff)
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
	c.streamCtx, c.cancel = context.WithCancel(context.Background())
	c.sessionSlots = make(chan struct{}, c.limits.Sessions)
	c.handshakeSlots = make(chan struct{}, c.limits.Handshakes)
	c.sessions = map[netip.AddrPort][]*session{}
	c.aliases = map[netip.AddrPort]netip.AddrPort{}
	c.targets = map[netip.AddrPort]*target{}
	c.phase = running
}

// admit starts to handle an inbound connection unless a limit is reached.
func (c *Connector) admit(conn net.Conn) {
	select {
	case c.sessionSlots <- struct{}{}:
	default:
		c.metrics.rejected("sessions")
		_ = conn.Close()
		return
	}
	select {
	case c.handshakeSlots <- struct{}{}:
	default:
		<-c.sessionSlots
		c.metrics.rejected("handshakes")
		_ = conn.Close()
		return
	}
	go c.handleConn(conn)
}

func (c *Connector) handleConn(conn net.Conn) {
	defer func() { <-c.sessionSlots }()
	ctx, cancel := context.WithTimeout(c.streamCtx, c.limits.Dial)
	s, err := c.establish(ctx, conn, false)
	cancel()
	<-c.handshakeSlots
	if err == nil {
		err = c.register(s, netip.AddrPort{})
	}
	if err != nil {
		c.metrics.rejected("handshake")
		level.Debug(c.Logger).Log("msg", "inbound session rejected", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	c.acceptStreams(s)
}

// drain stops accepting streams, waits until none is open or Limits.Drain has
// passed, and closes all sessions.
func (c *Connector) drain() {
	c.mu.Lock()
	c.phase = stopped
	c.mu.Unlock()
	for _, s := range c.all() {
		go s.mux.GoAway()
	}
	deadline := time.Now().Add(c.limits.Drain)
	for time.Now().Before(deadline) && c.streamsInFlight() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range c.all() {
		c.closeSession(s, "shutdown")
	}
}

func (c *Connector) streamsInFlight() int {
	streams := 0
	for _, s := range c.all() {
		streams += s.mux.NumStreams()
	}
	return streams
}

// Open opens a stream to the peer at an address over a live session, or over a
// new session if there is none. It fails immediately while dials to the peer are
// backing off.
func (c *Connector) Open(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
	// The second round uses the session that the first round dialled. The third
	// round covers a session that ends in between.
	for range 3 {
		for _, s := range c.candidates(time.Now(), to) {
			conn, err := s.open(kind)
			if err == nil {
				return c.wrap(s, conn, kind), nil
			}
			level.Debug(c.Logger).Log("msg", "opening a stream failed", "peer", s.peer.Name, "kind", kind, "err", err)
		}
		if err := c.dial(ctx, to); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("open stream to %s: each session ended before the stream was open", to)
}

// Sessions returns the number of open sessions.
func (c *Connector) Sessions() int {
	return len(c.all())
}
