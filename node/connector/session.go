package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
)

// session is one multiplexed connection to a peer.
type session struct {
	peer Peer
	// number is this end's number of the session, which is zero until the peer is told,
	// and remote the session as the peer knows it.
	number  uint64
	remote  sycamorerun.Session
	scope   Scope
	conn    *meteredConn
	mux     *yamux.Session
	dialled bool
	opened  time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// activeHandlers counts the inbound streams whose handlers are running, and
	// handlers waits for them.
	activeHandlers atomic.Int64
	handlers       sync.WaitGroup
	pinging        atomic.Bool
	prober         prober

	// The connector's mutex guards the following fields.

	// superseded is set while another session to the peer takes the new streams.
	superseded bool
	// goAwaySent is the time when this end stopped accepting streams.
	goAwaySent time.Time
	// lastUsed is the last time a stream was opened or found open.
	lastUsed time.Time
}

// diallerName returns the name of the node that dialled the session.
func (s *session) diallerName(self string) string {
	if s.dialled {
		return self
	}
	return s.peer.Name
}

// exchangeHello sends and receives the hello frames.
func (c *Connector) exchangeHello(conn net.Conn, s *session) error {
	// The dialling end sends first, so that the listening end discloses nothing to
	// an unidentified client.
	if s.dialled {
		if err := c.sendHello(conn, s); err != nil {
			return err
		}
	}
	hello, err := encoder.Read[Hello](conn, maxHelloBytes)
	if err != nil {
		return err
	}
	peer, err := newPeer(hello)
	if err != nil {
		return err
	}
	if peer.Name == c.Self.Name {
		return errors.Errorf("peer at %s has the same name as this node", peer.Address)
	}
	s.peer, s.remote = peer, sycamorerun.Session{Run: peer.Run(), Number: hello.GetSession()}
	if s.dialled {
		return nil
	}
	return c.sendHello(conn, s)
}

// sendHello sends the hello, which tells the peer the number of the session.
func (c *Connector) sendHello(conn net.Conn, s *session) error {
	s.number = c.lastSession.Add(1)
	if c.SessionOpened != nil {
		c.SessionOpened(s.number)
	}
	_, err := encoder.Write(conn, c.Self.hello(s.number))
	return err
}

// awaitHandlers waits until the handlers of a session that has ended have returned, and
// reports its end.
func (c *Connector) awaitHandlers(s *session) {
	s.handlers.Wait()
	if s.number != 0 && c.SessionClosed != nil {
		c.SessionClosed(s.number)
	}
}

// establish performs the handshakes on a TCP connection and returns its session.
// It closes the connection on failure.
func (c *Connector) establish(ctx context.Context, conn net.Conn, dialled bool) (*session, error) {
	s := &session{conn: newMeteredConn(conn, time.Now()), dialled: dialled}
	err := c.handshake(ctx, s)
	if err != nil {
		_ = conn.Close()
		c.awaitHandlers(s)
		return nil, err
	}
	s.scope = c.Self.scope(s.peer)
	s.ctx, s.cancel = context.WithCancel(c.streamCtx)
	s.opened = time.Now()
	s.lastUsed = s.opened
	return s, nil
}

func (c *Connector) handshake(ctx context.Context, s *session) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	secured, err := handshakeTLS(ctx, s.conn, c.TLS, s.dialled)
	if err != nil {
		return err
	}
	if err := c.exchangeHello(secured, s); err != nil {
		return errors.Wrap(err, "exchange hello")
	}
	_ = s.conn.SetDeadline(time.Time{})
	create := yamux.Server
	if s.dialled {
		create = yamux.Client
	}
	s.mux, err = create(&frameCoalescer{Conn: secured}, c.muxConfig())
	return errors.Wrap(err, "start yamux session")
}

func (c *Connector) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// The sweep pings silent sessions instead. Any received data counts as a sign
	// of life, so a session with heartbeats carries no keepalive traffic.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = c.limits.Stall
	config.LogOutput = nil
	config.Logger = muxLogger{level.Debug(c.Logger)}
	return config
}

// open opens a stream and writes its head.
func (s *session) open(kind string) (net.Conn, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := encoder.Write(conn, &Head{Kind: kind}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "write stream head")
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// acceptStreams accepts and serves streams of the peer until the session ends.
func (c *Connector) acceptStreams(s *session) {
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		if s.activeHandlers.Add(1) > int64(c.limits.Streams) {
			s.activeHandlers.Add(-1)
			c.metrics.rejected("streams")
			_ = conn.Close()
			continue
		}
		s.handlers.Go(func() {
			defer s.activeHandlers.Add(-1)
			c.serveStream(s, conn)
		})
	}
	c.remove(s)
	go c.awaitHandlers(s)
}

func (c *Connector) serveStream(s *session, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(c.limits.Dial))
	head, err := encoder.Read[Head](conn, maxHeadBytes)
	if err != nil {
		c.metrics.rejected("head")
		level.Debug(c.Logger).Log("msg", "inbound stream rejected: invalid head", "peer", s.peer.Name, "err", err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	handler := c.Handlers[head.GetKind()]
	if handler == nil {
		c.metrics.rejected("kind")
		level.Debug(c.Logger).Log("msg", "inbound stream rejected: unknown kind", "peer", s.peer.Name, "kind", head.GetKind())
		return
	}
	handler(s.ctx, s.peer, c.wrap(s, conn, head.GetKind()))
}

// muxLogger forwards yamux's log messages.
type muxLogger struct{ log.Logger }

func (l muxLogger) Print(v ...any)                 { l.Printf("%v", v) }
func (l muxLogger) Println(v ...any)               { l.Printf("%v", v) }
func (l muxLogger) Printf(format string, v ...any) { _ = l.Log("msg", errors.Errorf(format, v...)) }
