package connector_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorerun/node/connector"
)

// shortLimits shortens the timeouts that the tests wait for.
func shortLimits(c *connector.Connector) {
	c.Limits = connector.Limits{Ping: 100 * time.Millisecond, Stall: time.Second, Linger: 200 * time.Millisecond}
}

// TestBothEndsDialAtOnce guards against keeping two sessions, or losing both, when
// both ends dial at the same time.
func TestBothEndsDialAtOnce(t *testing.T) {
	t.Parallel()
	a, _ := start(t, "a", nil, shortLimits)
	b, _ := start(t, "b", nil, shortLimits)
	for range 5 {
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() { noError(t, echo(a, b.Self.Address)) })
			wait.Go(func() { noError(t, echo(b, a.Self.Address)) })
		}
		wait.Wait()
		eventually(t, "one session remains at each end", func() bool { return a.Sessions() == 1 && b.Sessions() == 1 })
		a.Close(b.Self.Address)
		eventually(t, "the other end closes its session", func() bool { return b.Sessions() == 0 })
	}
}

func noError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// proxy forwards TCP connections. It can freeze the open ones, like a middlebox
// that lost its state.
type proxy struct {
	address netip.AddrPort
	// conns counts the connections. Data of connections numbered up to frozen is
	// dropped.
	conns, frozen atomic.Int64
	// paused is write-locked while no connection forwards data.
	paused sync.RWMutex
	to     atomic.Pointer[netip.AddrPort]
}

func newProxy(t *testing.T) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", p.to.Load().String())
			if err != nil {
				_ = near.Close()
				continue
			}
			number := p.conns.Add(1)
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			go p.forward(number, near, far)
			go p.forward(number, far, near)
		}
	}()
	return p
}

func (p *proxy) forward(number int64, to, from net.Conn) {
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if err != nil {
			_ = to.Close()
			return
		}
		p.paused.RLock()
		p.paused.RUnlock()
		if number > p.frozen.Load() {
			_, _ = to.Write(data[:n])
		}
	}
}

// pause delays all data for d, as if the peer's process were stopped.
func (p *proxy) pause(d time.Duration) {
	p.paused.Lock()
	time.AfterFunc(d, p.paused.Unlock)
}

// freeze makes the open connections drop all data from now on.
func (p *proxy) freeze() { p.frozen.Store(p.conns.Load()) }

// TestFrozenSessionIsReplaced guards against new streams waiting on a session that
// went silent.
func TestFrozenSessionIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b, _ := start(t, "b", nil, shortLimits)
	p := newProxy(t)
	p.to.Store(&b.Listen)
	a, _ := start(t, "a", nil, shortLimits)
	is.NoErr(echo(a, p.address))
	p.freeze()
	eventually(t, "both ends close the frozen session", func() bool { return a.Sessions() == 0 && b.Sessions() == 0 })
	is.NoErr(echo(a, p.address))
	is.True(p.conns.Load() > p.frozen.Load())
}

// TestCallOnSilentSession guards against a call waiting for seconds on a session
// that went silent while new sessions work, and against disconnecting a paused
// peer. It runs with the production timeouts, except those that close a session
// without a waiting call; TestNextProbe checks the exact times.
func TestCallOnSilentSession(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		interrupt func(p *proxy)
		succeeds  bool
	}{
		"drops everything": {interrupt: func(p *proxy) { p.freeze() }},
		"paused for 2 s":   {interrupt: func(p *proxy) { p.pause(2 * time.Second) }, succeeds: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newProxy(t)
			b, _ := start(t, "b", nil, func(c *connector.Connector) { c.Self.Address = p.address })
			p.to.Store(&b.Listen)
			a, _ := start(t, "a", nil, func(c *connector.Connector) {
				c.Limits = connector.Limits{Ping: time.Hour, Stall: time.Hour}
			})
			stream, err := a.Open(t.Context(), p.address, "echo")
			is.NoErr(err)
			defer stream.Close()
			is.NoErr(echoOver(stream))
			stream.(interface{ SetAwaiting(bool) }).SetAwaiting(true)
			c.interrupt(p)
			started := time.Now()
			err = echoOver(stream)
			elapsed := time.Since(started)
			t.Logf("call ended after %s: %v", elapsed, err)
			is.Equal(err == nil, c.succeeds)
			is.True(elapsed < waitTimeout) // otherwise the deadline of the stream ended the call
			is.NoErr(echo(a, p.address))
		})
	}
}

// TestWriteToClosedSession guards against a write on a closed session failing with
// an error that leaves open whether the peer received data.
func TestWriteToClosedSession(t *testing.T) {
	is := is.New(t)
	b, stop := start(t, "b", nil, func(c *connector.Connector) { c.Limits.Drain = time.Millisecond })
	a, _ := start(t, "a", nil, nil)
	stream, err := a.Open(t.Context(), b.Self.Address, "echo")
	is.NoErr(err)
	defer stream.Close()
	is.NoErr(echoOver(stream))
	stop()
	eventually(t, "the session is closed", func() bool { return a.Sessions() == 0 })
	n, err := stream.Write([]byte("ping"))
	is.Equal(n, 0)
	is.True(errors.Is(err, net.ErrClosed))
}

// echoOver sends a message over a stream and reads it back.
func echoOver(stream net.Conn) error {
	_ = stream.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := stream.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(stream, make([]byte, 4))
	return err
}

// TestGarbage guards against invalid input that stops the connector, keeps a
// session open or reaches a handler.
func TestGarbage(t *testing.T) {
	t.Parallel()
	cluster := newAuthority(t)
	config := cluster.config(time.Hour)
	hello, _ := proto.Marshal(&connector.Hello{
		Protocol: 1, Name: "x", Boot: 1, Address: "127.0.0.1:1", AvailabilityZone: "z", Region: "r",
	})
	frame := string([]byte{0, 0, 0, byte(len(hello))}) + string(hello)
	noise := strings.Repeat("\xff\x00garbage", 100)
	cases := map[string]struct {
		secure bool
		sent   string
	}{
		"before the handshake": {false, noise},
		"instead of a hello":   {true, noise},
		"oversized hello":      {true, "\x00\x00\xff\xff" + strings.Repeat("a", 1<<16)},
		"incomplete hello":     {true, frame[:len(frame)-3]},
		"invalid hello":        {true, "\x00\x00\x00\x02\x08\x01"},
		"after the handshake":  {true, frame + noise},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := start(t, "a", config, func(c *connector.Connector) {
				shortLimits(c)
				c.Limits.Dial = 2 * time.Second
			})
			conn, err := net.Dial("tcp", c.Self.Address.String())
			is.NoErr(err)
			defer conn.Close()
			if test.secure {
				// The test only sends data, so it does not verify the server.
				clientConfig := config.Clone()
				clientConfig.InsecureSkipVerify = true
				conn = tls.Client(conn, clientConfig)
			}
			// The connector may reject the input before all of it is written.
			_, _ = io.WriteString(conn, test.sent)
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			_, err = io.Copy(io.Discard, conn)
			timeout, ok := err.(net.Error)
			is.True(!ok || !timeout.Timeout())
			eventually(t, "the session is closed", func() bool { return c.Sessions() == 0 })
			b, _ := start(t, "b", config, shortLimits)
			is.NoErr(echo(b, c.Self.Address))
		})
	}
}

// TestBadStreamHeads guards against streams with an invalid head that reach a
// handler or close the session of other streams.
func TestBadStreamHeads(t *testing.T) {
	is := is.New(t)
	a, _ := start(t, "a", nil, shortLimits)
	b, _ := start(t, "b", nil, shortLimits)
	for _, kind := range []string{"unknown", strings.Repeat("k", 100), ""} {
		stream, err := a.Open(t.Context(), b.Self.Address, kind)
		is.NoErr(err)
		_ = stream.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = stream.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(stream.Close())
	}
	is.NoErr(echo(a, b.Self.Address))
	is.Equal(b.Sessions(), 1)
}

// TestLimits guards against peers exceeding the limits for sessions and streams.
func TestLimits(t *testing.T) {
	is := is.New(t)
	a, _ := start(t, "a", nil, func(c *connector.Connector) {
		shortLimits(c)
		c.Limits.Sessions, c.Limits.Streams = 1, 1
	})
	b, _ := start(t, "b", nil, shortLimits)
	c, _ := start(t, "c", nil, shortLimits)
	held, err := b.Open(t.Context(), a.Self.Address, "echo")
	is.NoErr(err)
	_, err = held.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(held, make([]byte, 1))
	is.NoErr(err)
	is.True(echo(c, a.Self.Address) != nil) // second session
	is.True(echo(b, a.Self.Address) != nil) // second stream
	is.NoErr(held.Close())
	eventually(t, "the slot of the closed stream is free again", func() bool { return echo(b, a.Self.Address) == nil })
}

// TestRuns guards against peers rejecting a restarted node, whether its boot id is
// higher or lower, and against an older run that was paused and resumed locking out
// the current run.
func TestRuns(t *testing.T) {
	is := is.New(t)
	a, _ := start(t, "a", nil, shortLimits)
	run := func(boot int64, address netip.AddrPort) (*connector.Connector, context.CancelFunc) {
		return start(t, "b", nil, func(c *connector.Connector) {
			shortLimits(c)
			c.Self.Boot = boot
			c.Handlers["boot"] = func(_ context.Context, _ connector.Peer, stream net.Conn) {
				_, _ = stream.Write([]byte{byte(boot)})
			}
			if address.IsValid() {
				c.Self.Address = address
			}
		})
	}
	servingBoot := func(address netip.AddrPort) int64 {
		stream, err := a.Open(t.Context(), address, "boot")
		is.NoErr(err)
		defer stream.Close()
		read := make([]byte, 1)
		_, err = io.ReadFull(stream, read)
		is.NoErr(err)
		return int64(read[0])
	}
	first, _ := run(2, netip.AddrPort{})
	is.NoErr(echo(first, a.Self.Address))
	for _, boot := range []int64{1, 3} {
		next, _ := run(boot, first.Self.Address)
		is.NoErr(echo(next, a.Self.Address))
		eventually(t, "the session of the earlier run is closed", func() bool { return a.Sessions() == 1 })
		is.Equal(servingBoot(first.Self.Address), boot)
	}
	is.NoErr(echo(first, a.Self.Address)) // the first run resumes
	eventually(t, "only one run has a session", func() bool { return a.Sessions() == 1 })
	current, _ := run(4, first.Self.Address)
	is.NoErr(echo(current, a.Self.Address))
	eventually(t, "the session of the earlier run is closed", func() bool { return a.Sessions() == 1 })
	is.Equal(servingBoot(first.Self.Address), int64(4))
	self, _ := start(t, "a", nil, shortLimits)
	is.True(echo(self, a.Self.Address) != nil)
}

// TestShutdownFinishesStreams guards against a shutdown that interrupts a stream in
// flight or accepts new streams.
func TestShutdownFinishesStreams(t *testing.T) {
	is := is.New(t)
	a, _ := start(t, "a", nil, nil)
	b, stop := start(t, "b", nil, nil)
	stream, err := a.Open(t.Context(), b.Self.Address, "echo")
	is.NoErr(err)
	read := make([]byte, 1)
	roundTrip := func() {
		_, err := stream.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(stream, read)
		is.NoErr(err)
	}
	roundTrip()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	eventually(t, "new streams are rejected", func() bool { return echo(a, b.Self.Address) != nil })
	roundTrip()
	is.NoErr(stream.Close())
	select {
	case <-stopped:
	case <-time.After(waitTimeout):
		t.Fatal("the connector did not stop although no stream is open")
	}
}

// TestCounters guards against counting bytes for the wrong scope or kind, and
// against headers that are not counted, counted twice or lost when the connection
// closes.
func TestCounters(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	a, stop := start(t, "a", nil, func(c *connector.Connector) { c.Scope = scope })
	b, _ := start(t, "b", nil, func(c *connector.Connector) { c.Self.AvailabilityZone = "north-2" })
	is.NoErr(echo(a, b.Self.Address))
	stop()
	counters := scope.Snapshot().Counters()
	is.Equal(counters["connector.stream_bytes+direction=out,kind=echo,scope=region"].Value(), int64(4))
	is.Equal(counters["connector.stream_bytes+direction=in,kind=echo,scope=region"].Value(), int64(4))
	is.True(counters["connector.wire_bytes+direction=out,scope=region"].Value() > 4)
	is.Equal(counters["connector.wire_bytes+direction=out,scope=zone"], nil)
	const headerBytes = 20 + 20 + 12 // IPv4, TCP and the timestamp option that Linux negotiates.
	for _, direction := range []string{"in", "out"} {
		count := func(name string) int64 {
			return counters["connector."+name+"+direction="+direction+",scope=region"].Value()
		}
		// At least the TCP handshake, the hello, the stream head and the message.
		is.True(count("segments") >= 4)
		is.Equal(count("network_bytes"), count("wire_bytes")+headerBytes*count("segments"))
	}
}
