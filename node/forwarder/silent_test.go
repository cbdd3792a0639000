package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/connector"
	"sycamorerun/node/registrar"
)

// maxSilentSessionDelay bounds how long a call on a silent session takes to get
// its result or to be sent elsewhere.
const maxSilentSessionDelay = 2 * time.Second

// dropper forwards connections to an address. Connections that were open when
// drop was called stay open but lose all data.
type dropper struct {
	net.Listener
	target         atomic.Pointer[netip.AddrPort]
	conns, dropped atomic.Int64
	// dialDelay is the time that new connections take, in nanoseconds.
	dialDelay atomic.Int64
	// resumed is closed when the connections carry data again after hold.
	resumed atomic.Pointer[chan struct{}]
	mutex   sync.Mutex
	open    []net.Conn
}

// hold makes all connections carry nothing for a while, and then what has come meanwhile,
// as if the process of the peer stood still.
func (d *dropper) hold(duration time.Duration) {
	resumed := make(chan struct{})
	d.resumed.Store(&resumed)
	time.AfterFunc(duration, func() { close(resumed) })
}

// cut closes all connections.
func (d *dropper) cut() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, conn := range d.open {
		_ = conn.Close()
	}
	d.open = nil
}

func newDropper(t *testing.T) *dropper {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &dropper{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	t.Cleanup(d.cut)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(time.Duration(d.dialDelay.Load()))
			server, err := net.Dial("tcp", d.target.Load().String())
			if err != nil {
				_ = client.Close()
				continue
			}
			d.mutex.Lock()
			d.open = append(d.open, client, server)
			d.mutex.Unlock()
			number := d.conns.Add(1)
			go d.forward(number, client, server)
			go d.forward(number, server, client)
		}
	}()
	return d
}

func (d *dropper) forward(number int64, to, from net.Conn) {
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if resumed := d.resumed.Load(); resumed != nil {
			<-*resumed
		}
		if number > d.dropped.Load() {
			_, _ = to.Write(data[:n])
		}
		if err != nil {
			return
		}
	}
}

func (d *dropper) drop() { d.dropped.Store(d.conns.Load()) }

// runConnector runs the connector of one run of a node and returns its address.
func runConnector(t *testing.T, c *connector.Connector) netip.AddrPort {
	c.Self.AvailabilityZone, c.Self.Region = "z", "r"
	c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	c.Limits = connector.Limits{Drain: time.Millisecond}
	address, err := c.Bind()
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return address
}

// runUpstreamNode runs the connector of the node f, which records its calls in calls.
func runUpstreamNode(t *testing.T, announced netip.AddrPort, f *Forwarder, calls *registrar.Registrar) netip.AddrPort {
	return runConnector(t, &connector.Connector{
		Self: connector.Peer{Name: calls.Self.Name, Boot: calls.Self.Boot, Address: announced},
		Handlers: map[string]connector.Handler{
			KindCall:  func(ctx context.Context, _ connector.Peer, stream net.Conn) { f.ServeCall(ctx, stream) },
			KindQuery: func(ctx context.Context, _ connector.Peer, stream net.Conn) { f.ServeQuery(ctx, stream) },
		},
		SessionOpened: calls.OpenSession,
		SessionClosed: func(number uint64) { calls.CloseSession(time.Now(), number) },
	})
}

// connectNodes runs a connector for each node of the fixture, with a dropper
// between them.
func (fx *fixture) connectNodes(t *testing.T) *dropper {
	d := newDropper(t)
	announced := netip.MustParseAddrPort(d.Addr().String())
	address := runUpstreamNode(t, announced, fx.upstreamNode, fx.registrar)
	d.target.Store(&address)
	entry := &connector.Connector{Self: connector.Peer{Name: "entry", Boot: 1, Address: upstreamNodeAddress}}
	runConnector(t, entry)
	fx.open = entry.Open
	fx.instances = []sycamorerun.Instance{
		{Name: "beside", Address: announced, Service: "s"}, {Name: "beside", Address: announced, Service: "s"},
	}
	return d
}

// Guards against a call that waits for seconds on a session to a peer that
// became silent although new sessions work, and against a retry of a call that
// may have run.
func TestCallOnSilentSession(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// droppedBeforeCall says that the session becomes silent before the call
		// is sent.
		droppedBeforeCall, repeatable bool
		reason                        string
		executed                      int64
	}{
		"not seen by the peer":     {droppedBeforeCall: true, executed: 1},
		"running":                  {reason: reasonPeerLost, executed: 1},
		"running, may be repeated": {repeatable: true, executed: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var d *dropper
			release := make(chan struct{})
			var calls atomic.Int64
			fx := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1) == 2 && !c.droppedBeforeCall {
					d.drop()
					<-release
				}
				_, _ = io.WriteString(w, "ok")
			})
			defer close(release)
			fx.match.Repeatable, fx.maxRetries = c.repeatable, 1
			d = fx.connectNodes(t)
			is.Equal(fx.send(http.MethodPost, "/x", strings.NewReader("a")).body, "ok")
			if c.droppedBeforeCall {
				d.drop()
			}
			stopMeasuring := measureDelays(t)
			start := time.Now()
			got := fx.send(http.MethodPost, "/x", strings.NewReader("a"))
			took := time.Since(start)
			delay := stopMeasuring()
			t.Logf("%d %s %q after %s, including scheduling delays of %s", got.status, got.reason, got.body, took, delay)
			is.Equal(got.reason, c.reason)
			is.Equal(got.body == "ok", c.reason == "")
			is.Equal(fx.executed.Load(), 1+c.executed)
			is.True(took-delay < maxSilentSessionDelay)
		})
	}
}

// measureDelays returns a function that stops the measurement and returns the
// total delay of a goroutine that sleeps in short steps. The delay shows how
// busy the machine was.
func measureDelays(t *testing.T) func() time.Duration {
	const step = 50 * time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	total := make(chan time.Duration, 1)
	go func() {
		var late time.Duration
		for ctx.Err() == nil {
			due := time.Now().Add(step)
			time.Sleep(step)
			late += time.Since(due)
		}
		total <- late
	}()
	return func() time.Duration {
		stop()
		return <-total
	}
}

// closableConn is a stream whose peer can close it just before a write.
type closableConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c closableConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, errors.Wrap(net.ErrClosed, "stream closed")
	}
	return c.Conn.Write(p)
}

// Guards against a call that is reported as unknown or is not sent again
// although its stream was closed before anything was sent, as happens when the
// node beside the upstream stops. That node can't be queried then.
func TestClosedBeforeSending(t *testing.T) {
	cases := map[string]struct {
		// streams is the number of streams that close, instances the number
		// of instances to pick from.
		streams, instances int
		body, reason       string
		executed, status   int
	}{
		"kept stream":                    {streams: 1, instances: 1, body: "ok", executed: 2, status: 200},
		"kept and new stream":            {streams: 2, instances: 1, reason: reasonPeerUnreachable, executed: 1, status: 503},
		"kept and new stream, elsewhere": {streams: 2, instances: 2, body: "ok", executed: 2, status: 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, false, reply("ok"))
			fx.maxRetries = 1
			for len(fx.instances) < c.instances {
				fx.instances = append(fx.instances, sycamorerun.Instance{Name: "other", Address: upstreamNodeAddress, Service: "s"})
			}
			var opened int
			var closed atomic.Bool
			fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
				if kind == KindQuery {
					return nil, errRefusedDial
				}
				conn, err := fx.dialUpstreamNode(ctx, to, kind)
				if opened++; opened <= c.streams {
					return closableConn{conn, &closed}, err
				}
				return conn, err
			}
			is.Equal(fx.send(http.MethodPost, "/x", strings.NewReader("a")).body, "ok")
			closed.Store(true)
			got := fx.send(http.MethodPost, "/x", strings.NewReader("a"))
			is.Equal(got.status, c.status)
			is.Equal(got.reason, c.reason)
			is.Equal(got.body == "ok", c.body == "ok")
			is.Equal(fx.executed.Load(), int64(c.executed))
		})
	}
}
