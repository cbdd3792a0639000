package connector

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"sycamorerun/encoder"
)

// session is one multiplexed connection to a peer.
type session struct {
	peer    Peer
	scope   Scope
	wire    *wire
	mux     *yamux.Session
	dialled bool
	opened  time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// handled counts the inbound streams whose handler runs.
	handled atomic.Int64
	pinging atomic.Bool
	prober  prober

	// The connector's mutex guards the fields below.

	// retired is set when another session to the peer takes the new streams.
	retired bool
	// away is the time when this end stopped accepting streams.
	away time.Time
	// used is the last time when a stream was seen or opened.
	used time.Time
}

// diallerName names the end that dialled.
func (s *session) diallerName(self string) string {
	if s.dialled {
		return self
	}
	return s.peer.Name
}

// exchange sends and receives the hello frames.
func exchange(conn net.Conn, self Peer, dialled bool) (Peer, error) {
	// The dialling end speaks first, so that a listener tells an unidentified
	// client nothing.
	if dialled {
		if _, err := encoder.Write(conn, self.hello()); err != nil {
			return Peer{}, err
		}
	}
	hello, err := encoder.Read[Hello](conn, helloBytes)
	if err != nil {
		return Peer{}, err
	}
	peer, err := newPeer(hello)
	if err != nil {
		return Peer{}, err
	}
	if peer.Name == self.Name {
		return Peer{}, errors.Errorf("peer at %s has this node's name", peer.Address)
	}
	if !dialled {
		if _, err := encoder.Write(conn, self.hello()); err != nil {
			return Peer{}, err
		}
	}
	return peer, nil
}

// establish turns a TCP connection into a session. It closes the connection
// on failure.
func (c *Connector) establish(ctx context.Context, conn net.Conn, dialled bool) (*session, error) {
	s := &session{wire: newWire(conn, time.Now()), dialled: dialled}
	err := c.handshake(ctx, s)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.scope = c.Self.scope(s.peer)
	s.ctx, s.cancel = context.WithCancel(c.streams)
	s.opened = time.Now()
	s.used = s.opened
	return s, nil
}

func (c *Connector) handshake(ctx context.Context, s *session) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.wire.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.wire.Close() })
	defer stop()
	secured, err := secure(ctx, s.wire, c.TLS, s.dialled)
	if err != nil {
		return err
	}
	if s.peer, err = exchange(secured, c.Self, s.dialled); err != nil {
		return errors.Wrap(err, "hello")
	}
	_ = s.wire.SetDeadline(time.Time{})
	create := yamux.Server
	if s.dialled {
		create = yamux.Client
	}
	s.mux, err = create(&joiner{Conn: secured}, c.muxConfig())
	return errors.Wrap(err, "session")
}

func (c *Connector) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// The sweep pings silent sessions: pinging only after silence saves the
	// bytes of keepalives beside heartbeats, and any received byte counts.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = c.limits.Stall
	config.LogOutput = nil
	config.Logger = muxLogger{level.Debug(c.Logger)}
	return config
}

// open starts a stream and writes its head.
func (s *session) open(kind string) (net.Conn, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := encoder.Write(conn, &Head{Kind: kind}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "stream head")
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// accept serves the peer's streams until the session ends.
func (c *Connector) accept(s *session) {
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		if s.handled.Add(1) > int64(c.limits.Streams) {
			s.handled.Add(-1)
			c.metrics.rejected("streams")
			_ = conn.Close()
			continue
		}
		go func() {
			defer s.handled.Add(-1)
			c.serve(s, conn)
		}()
	}
	c.remove(s)
}

func (c *Connector) serve(s *session, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(c.limits.Dial))
	head, err := encoder.Read[Head](conn, headBytes)
	if err != nil {
		c.metrics.rejected("head")
		level.Debug(c.Logger).Log("msg", "stream without a valid head", "peer", s.peer.Name, "err", err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	handler := c.Handlers[head.GetKind()]
	if handler == nil {
		c.metrics.rejected("kind")
		level.Debug(c.Logger).Log("msg", "stream of unknown kind", "peer", s.peer.Name, "kind", head.GetKind())
		return
	}
	handler(s.ctx, s.peer, c.wrap(s, conn, head.GetKind()))
}

// muxLogger passes yamux's messages on.
type muxLogger struct{ log.Logger }

func (l muxLogger) Print(v ...any)                 { l.Printf("%v", v) }
func (l muxLogger) Println(v ...any)               { l.Printf("%v", v) }
func (l muxLogger) Printf(format string, v ...any) { _ = l.Log("msg", errors.Errorf(format, v...)) }
