package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"sycamorerun/node/deduplicator"
	"sycamorerun/node/limiter"
	"sycamorerun/node/listener"
	"sycamorerun/node/registrar"
)

var upstreamNodeAddress = netip.MustParseAddrPort("127.0.0.1:9")

// fixture holds a node that takes callers' requests (entry), the node beside the
// upstream (upstreamNode) and the upstream, wired as the runner wires them. If
// the fixture is local, both nodes are the same.
type fixture struct {
	entry, upstreamNode *Forwarder
	match               Match
	hasRoute            bool
	instances           []sycamorerun.Instance
	limiter             *limiter.Limiter
	deduplicator        *deduplicator.Deduplicator
	registrar           *registrar.Registrar
	maxRetries          int
	executed            atomic.Int64
	observed            chan Observation
	// open opens the streams between the nodes.
	open           func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error)
	streams        sync.WaitGroup
	callerServer   *httptest.Server
	upstreamServer *httptest.Server
}

func newFixture(t testing.TB, local bool, handler http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureWith(t, local, handler, func(*httptest.Server) {})
}

// newFixtureWith is newFixture with a function that configures both servers
// before they start.
func newFixtureWith(t testing.TB, local bool, handler http.HandlerFunc, configure func(*httptest.Server)) *fixture {
	t.Helper()
	fx := &fixture{
		hasRoute:     true,
		match:        Match{Team: "t", Service: "s", Class: sycamorerun.Interactive, Timeout: 10 * time.Second, Idle: 5 * time.Second},
		limiter:      limiter.New(limiter.Limits{Slots: 6, Queue: 2, Connections: 130}),
		deduplicator: deduplicator.New(time.Now().Add(-time.Hour), deduplicator.Defaults),
		observed:     make(chan Observation, 16),
	}
	fx.deduplicator.Self, fx.deduplicator.HistoryComplete = "beside", true
	fx.registrar = newRegistrar(fixtureSession.Run)
	fx.upstreamServer = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fx.executed.Add(1)
		handler(w, r)
	}))
	fx.upstreamServer.Config.ErrorLog = discardLog
	configure(fx.upstreamServer)
	fx.upstreamServer.Start()
	fx.open = fx.dialUpstreamNode
	fx.upstreamNode = fx.newNode("beside")
	fx.entry = fx.upstreamNode
	if !local {
		fx.entry = fx.newNode("entry")
	}
	fx.instances = []sycamorerun.Instance{{Name: "beside", Address: upstreamNodeAddress, Service: "s"}}
	fx.callerServer = httptest.NewUnstartedServer(fx.entry)
	fx.callerServer.Config.ErrorLog = discardLog
	fx.callerServer.Config.MaxHeaderBytes = defaultMaxHeaderBytes
	limits := listener.New()
	limits.ErrorResponse = fx.entry.RefuseHeader
	limits.Configure(fx.callerServer.Config)
	configure(fx.callerServer)
	callerListener := fx.callerServer.Listener
	fx.callerServer.Listener = limits.Wrap(callerListener)
	fx.callerServer.Start()
	if memory, ok := callerListener.(*memoryListener); ok {
		fx.callerServer.Client().Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return memory.dial(ctx)
		}
	}
	t.Cleanup(func() {
		fx.callerServer.CloseClientConnections()
		fx.callerServer.Close()
		fx.upstreamServer.CloseClientConnections()
		fx.upstreamServer.Close()
		fx.entry.pool.close()
		fx.streams.Wait()
	})
	return fx
}

func (fx *fixture) newNode(name string) *Forwarder {
	f := New(name)
	f.Grace = 0
	f.Match = func(*http.Request) (Match, bool) { return fx.match, fx.hasRoute }
	f.Pick = func(_ time.Time, query Query) (sycamorerun.Instance, bool) {
		if len(query.Tried) >= len(fx.instances) {
			return sycamorerun.Instance{}, false
		}
		return fx.instances[len(query.Tried)], true
	}
	f.Owner = func(string, string) (sycamorerun.Instance, bool) { return fx.instances[0], true }
	f.Observe = func(_ time.Time, observation Observation) { fx.observed <- observation }
	f.CountCall = func(time.Time, string) {}
	f.AllowRetry = func(_ time.Time, attempt Attempt) (time.Duration, bool) {
		notRunOrRepeatable := attempt.Result == sycamorerun.NotRun || attempt.Repeatable
		return 0, notRunOrRepeatable && !attempt.Consumed && attempt.Number <= fx.maxRetries
	}
	f.HasOtherInstance = func(_ string, excluded []string) bool { return len(excluded) < len(fx.instances) }
	f.Acquire = func(ctx context.Context, now time.Time, request SlotRequest) (func(), Rejection) {
		release, refusal := fx.limiter.Acquire(ctx, now, limiter.Request(request))
		return release, Rejection(refusal)
	}
	f.Load = func(Match) *Load { return &Load{Running: uint32(fx.limiter.Load().Running), Slots: 6} }
	fx.wireRecords(f, fx.registrar)
	f.Open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
		conn, err := fx.open(ctx, to, kind)
		if _, ok := conn.(*connector.Stream); ok || err != nil {
			return conn, err
		}
		return fixtureStream{conn}, nil
	}
	upstream := Transport(netip.MustParseAddrPort(fx.upstreamServer.Listener.Addr().String()), 6, f.Contract)
	if memory, ok := fx.upstreamServer.Listener.(*memoryListener); ok {
		upstream.Dial = memory.dial
	}
	f.Upstream = upstream
	return f
}

// fixtureSession is the session of the streams that are not from a connector.
var fixtureSession = sycamorerun.Session{Run: sycamorerun.Run{Name: "beside", Boot: 1}, Number: 1}

// fixtureStream is a stream of fixtureSession.
type fixtureStream struct{ net.Conn }

func (fixtureStream) RemoteSession() sycamorerun.Session { return fixtureSession }
func (fixtureStream) LocalSession() uint64               { return fixtureSession.Number }

// newRegistrar returns the registrar of a run, in which fixtureSession is open.
func newRegistrar(self sycamorerun.Run) *registrar.Registrar {
	r := registrar.New(registrar.Defaults)
	r.Self = self
	r.OpenSession(fixtureSession.Number)
	return r
}

// wireRecords connects a node to the records of calls of a run, and to those of keys.
func (fx *fixture) wireRecords(f *Forwarder, calls *registrar.Registrar) {
	f.Begin = func(now time.Time, claim Claim) sycamorerun.Decision {
		key := deduplicator.Key{Name: claim.Key, Fingerprint: claim.Fingerprint}
		decide := func() sycamorerun.Decision { return fx.deduplicator.Begin(now, key) }
		return calls.Begin(claim.ID, decide, func() {
			fx.deduplicator.Finish(time.Now(), key, deduplicator.Result{Result: sycamorerun.NotRun})
		})
	}
	f.Finish = func(now time.Time, claim Claim, completion Completion) {
		if calls.Finish(claim.ID, registrar.Outcome{Result: completion.Result, Sent: completion.Sent}) {
			fx.deduplicator.Finish(now, deduplicator.Key{Name: claim.Key, Fingerprint: claim.Fingerprint},
				deduplicator.Result{Result: completion.Result, Response: completion.Response})
		}
	}
	f.Launch = calls.Launch
	f.End = calls.End
	f.Refuse = func(sent sycamorerun.Session, sequence uint64) CallState {
		return CallState(calls.Refuse(sent, sequence))
	}
}

// memoryListener accepts connections within the process, since synctest can tell
// that a goroutine is blocked on them.
type memoryListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// useMemoryListener makes a server listen within the process.
func useMemoryListener(server *httptest.Server) {
	address := server.Listener.Addr()
	_ = server.Listener.Close()
	server.Listener = &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Addr() net.Addr { return l.address }

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// dialUpstreamNode opens a stream to the node beside the upstream.
func (fx *fixture) dialUpstreamNode(_ context.Context, _ netip.AddrPort, kind string) (net.Conn, error) {
	client, server := net.Pipe()
	fx.serveStream(kind, server)
	return client, nil
}

func (fx *fixture) serveStream(kind string, server net.Conn) {
	fx.streams.Add(1)
	go func() {
		defer fx.streams.Done()
		if kind == KindQuery {
			fx.upstreamNode.ServeQuery(context.Background(), fixtureStream{server})
		} else {
			fx.upstreamNode.ServeCall(context.Background(), fixtureStream{server})
		}
	}()
}

// callResult is what a caller sees.
type callResult struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// send makes a request and reads the whole response.
func (fx *fixture) send(method, path string, body io.Reader, header ...string) callResult {
	r, err := http.NewRequest(method, fx.callerServer.URL+path, body)
	if err != nil {
		return callResult{err: err}
	}
	for at := 0; at < len(header); at += 2 {
		r.Header.Set(header[at], header[at+1])
	}
	return fx.do(r)
}

// waitExecuted waits until the upstream has counted the executions. When a
// stream is cut while a request is in transit, the caller may get its outcome
// before the upstream's server has started the handler.
func (fx *fixture) waitExecuted(t *testing.T, executions int64) {
	t.Helper()
	waitFor(func() bool { return fx.executed.Load() >= executions })
	is.New(t).Equal(fx.executed.Load(), executions)
}

// waitFor waits for a condition for at most 5 s and reports whether it holds.
func waitFor(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (fx *fixture) do(r *http.Request) callResult {
	response, err := fx.callerServer.Client().Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, outcome: response.Header.Get(sycamorerun.HeaderOutcome),
		reason: response.Header.Get(sycamorerun.HeaderReason), body: string(data), err: err,
	}
}

func reply(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, body)
	}
}

var errRefusedDial = errors.New("connection refused")

// forBothPaths runs a test on the local path and on the path through a peer.
func forBothPaths(t *testing.T, run func(t *testing.T, local bool)) {
	for name, local := range map[string]bool{"local": true, "peer": false} {
		t.Run(name, func(t *testing.T) { run(t, local) })
	}
}

var largeBody = strings.Repeat("0123456789abcdef", 64<<10)
