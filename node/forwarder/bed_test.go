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
	"sycamorerun/node/deduplicator"
	"sycamorerun/node/limiter"
	"sycamorerun/node/listener"
)

var peerAddress = netip.MustParseAddrPort("127.0.0.1:9")

// bed is a node that takes callers' requests, a node beside an upstream, and
// the upstream, wired as the runner does. With local set the first node is the
// one beside the upstream.
type bed struct {
	entry, beside *Forwarder
	match         Match
	routed        bool
	picks         []sycamorerun.Instance
	limiter       *limiter.Limiter
	records       *deduplicator.Deduplicator
	retries       int
	executed      atomic.Int64
	observed      chan Observation
	// open replaces the stream to the peer.
	open     func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error)
	serving  sync.WaitGroup
	caller   *httptest.Server
	upstream *httptest.Server
}

func newBed(t testing.TB, local bool, handler http.HandlerFunc) *bed {
	t.Helper()
	return newBedOver(t, local, handler, func(*httptest.Server) {})
}

// newBedOver is newBed with servers that listen as set up by over.
func newBedOver(t testing.TB, local bool, handler http.HandlerFunc, over func(*httptest.Server)) *bed {
	t.Helper()
	b := &bed{
		routed:   true,
		match:    Match{Team: "t", Service: "s", Class: sycamorerun.Interactive, Timeout: 10 * time.Second, Idle: 5 * time.Second},
		limiter:  limiter.New(limiter.Limits{Slots: 6, Queue: 2, Connections: 130}),
		records:  deduplicator.New(time.Now().Add(-time.Hour), deduplicator.Defaults),
		observed: make(chan Observation, 16),
	}
	b.records.Self, b.records.HistoryComplete = "beside", true
	b.upstream = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.executed.Add(1)
		handler(w, r)
	}))
	b.upstream.Config.ErrorLog = quiet
	over(b.upstream)
	b.upstream.Start()
	b.open = b.dial
	b.beside = b.node("beside")
	b.entry = b.beside
	if !local {
		b.entry = b.node("entry")
	}
	b.picks = []sycamorerun.Instance{{Name: "beside", Address: peerAddress, Service: "s"}}
	b.caller = httptest.NewUnstartedServer(b.entry)
	b.caller.Config.ErrorLog = quiet
	b.caller.Config.MaxHeaderBytes = headerBytes
	limits := listener.New()
	limits.Refuse = b.entry.RefuseHeader
	limits.Serve(b.caller.Config)
	over(b.caller)
	under := b.caller.Listener
	b.caller.Listener = limits.On(under)
	b.caller.Start()
	if memory, ok := under.(*memoryListener); ok {
		b.caller.Client().Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return memory.dial(ctx)
		}
	}
	t.Cleanup(func() {
		b.caller.CloseClientConnections()
		b.caller.Close()
		b.upstream.CloseClientConnections()
		b.upstream.Close()
		b.entry.pool.close()
		b.serving.Wait()
	})
	return b
}

func (b *bed) node(name string) *Forwarder {
	f := New(name)
	f.Grace = 0
	f.Match = func(*http.Request) (Match, bool) { return b.match, b.routed }
	f.Pick = func(_ time.Time, query Query) (sycamorerun.Instance, bool) {
		if len(query.Tried) >= len(b.picks) {
			return sycamorerun.Instance{}, false
		}
		return b.picks[len(query.Tried)], true
	}
	f.Owner = func(string, string) (sycamorerun.Instance, bool) { return b.picks[0], true }
	f.Observe = func(_ time.Time, observation Observation) { b.observed <- observation }
	f.Call = func(time.Time, string) {}
	f.Allow = func(_ time.Time, attempt Attempt) (time.Duration, bool) {
		safe := attempt.Result == sycamorerun.NotRun || attempt.Repeatable
		return 0, safe && !attempt.Consumed && attempt.Number <= b.retries
	}
	f.Others = func(_ string, than []string) bool { return len(than) < len(b.picks) }
	f.Acquire = func(ctx context.Context, now time.Time, want Want) (func(), Rejection) {
		release, refusal := b.limiter.Acquire(ctx, now, limiter.Want(want))
		return release, Rejection(refusal)
	}
	f.Load = func(Match) *Load { return &Load{Running: uint32(b.limiter.Load().Running), Slots: 6} }
	f.Begin = func(now time.Time, claim Claim) sycamorerun.Decision {
		return b.records.Begin(now, claim.ID, deduplicator.Key{Name: claim.Key, Fingerprint: claim.Print})
	}
	f.Finish = func(now time.Time, claim Claim, ending Ending) {
		b.records.Finish(now, claim.ID, deduplicator.Key{Name: claim.Key, Fingerprint: claim.Print},
			deduplicator.Result{Result: ending.Result, Response: ending.Response})
	}
	f.Refuse = func(now time.Time, id string, age time.Duration) Progress {
		return Progress(b.records.Refuse(now, id, age))
	}
	f.Open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
		return b.open(ctx, to, kind)
	}
	upstream := Transport(netip.MustParseAddrPort(b.upstream.Listener.Addr().String()), 6, f.Contract)
	if memory, ok := b.upstream.Listener.(*memoryListener); ok {
		upstream.Dial = memory.dial
	}
	f.Upstream = upstream
	return f
}

// memoryListener accepts connections within the process, on which synctest can
// tell that a goroutine waits.
type memoryListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// inMemory makes a server listen within the process.
func inMemory(server *httptest.Server) {
	address := server.Listener.Addr()
	_ = server.Listener.Close()
	server.Listener = &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
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

// dial opens a stream to the node beside the upstream.
func (b *bed) dial(_ context.Context, _ netip.AddrPort, kind string) (net.Conn, error) {
	near, far := net.Pipe()
	b.serve(kind, far)
	return near, nil
}

func (b *bed) serve(kind string, far net.Conn) {
	b.serving.Add(1)
	go func() {
		defer b.serving.Done()
		if kind == KindQuery {
			b.beside.ServeQuery(context.Background(), far)
		} else {
			b.beside.ServeCall(context.Background(), far)
		}
	}()
}

// result is what a caller sees.
type result struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// send makes a request and reads the whole response.
func (b *bed) send(method, path string, body io.Reader, header ...string) result {
	r, err := http.NewRequest(method, b.caller.URL+path, body)
	if err != nil {
		return result{err: err}
	}
	for at := 0; at < len(header); at += 2 {
		r.Header.Set(header[at], header[at+1])
	}
	return b.do(r)
}

// reached waits until the upstream has counted the executions. When a stream is
// cut while a request is on its way, the caller may have its outcome before the
// upstream's server has started the handler.
func (b *bed) reached(t *testing.T, executions int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.executed.Load() < executions && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(b.executed.Load(), executions)
}

func (b *bed) do(r *http.Request) result {
	response, err := b.caller.Client().Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{
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

// paths runs a test over the local path and over the path through a peer.
func paths(t *testing.T, run func(t *testing.T, local bool)) {
	for name, local := range map[string]bool{"local": true, "peer": false} {
		t.Run(name, func(t *testing.T) { run(t, local) })
	}
}

var large = strings.Repeat("0123456789abcdef", 64<<10)
