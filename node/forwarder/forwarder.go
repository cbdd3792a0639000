// Package forwarder takes callers' requests, sends each to one upstream,
// directly or through the node beside it, and returns the whole response or an
// outcome that says whether the request ran.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
)

// Stream kinds.
const (
	KindCall  = "call"
	KindQuery = "query"
)

const (
	// wholeBytes bounds the bodies that are read before they are sent on. A
	// request body of this size occupies no slot while its caller sends it,
	// and can be sent again; larger bodies stream.
	maxBufferedBodyBytes = 32 << 10
	// chunkBytes is the size of the reads of a streamed body. A chunk fills two
	// TLS records with its frame's 8 bytes and the 12 of the session's.
	chunkBytes = 32<<10 - 20
	// headerBytes bounds the header of a response, and that of a request unless
	// SetLimits says otherwise.
	defaultMaxHeaderBytes = 64 << 10
	// lineBytes is what the server reads beyond its bound on a header. It leaves
	// room for the request line, which the limit on a header does not count.
	requestLineBytes = 4 << 10
	// frameBytes holds the largest header with its request line and a body of
	// wholeBytes with their encoding.
	maxFrameBytes = 2*(maxHeaderBytes+requestLineBytes) + maxBufferedBodyBytes
	// headWait bounds the time until the head arrives on an opened stream.
	headTimeout = 10 * time.Second
)

// Defaults of the fields of Forwarder.
const (
	DefaultBodyTimeout  = 10 * time.Second
	DefaultQueryTimeout = 500 * time.Millisecond
	DefaultGrace        = 3 * time.Second
)

// Forwarder is the data path of one node. All function fields are set before
// the first call.
type Forwarder struct {
	// Self is the name of this node's instance.
	Self string
	// Service is the service beside this node, for Contract.Origin.
	Service string
	// Contract names the headers.
	Contract Contract
	// Target returns the id of the upstream instance beside this node.
	Target func() string
	// Match finds the route of a request.
	Match func(*http.Request) (Match, bool)
	// Pick chooses the instance for an attempt without a key. Every pick is followed by
	// exactly one call of Observe.
	Pick    func(now time.Time, query Query) (sycamorerun.Instance, bool)
	Observe func(now time.Time, observation Observation)
	// Owner returns the instance that executes the calls with a key. Such calls
	// are neither picked nor observed.
	Owner func(service, key string) (sycamorerun.Instance, bool)
	// CountCall counts a call towards the retry budget of its service; Allow says
	// whether and when a failed attempt may be repeated.
	CountCall  func(now time.Time, service string)
	AllowRetry func(now time.Time, attempt Attempt) (time.Duration, bool)
	// HasOtherInstance reports whether the service has an instance beside those named.
	HasOtherInstance func(service string, than []string) bool
	// Acquire waits for a slot at the upstream beside this node; the rejection
	// is zero when the call is admitted.
	Acquire func(ctx context.Context, now time.Time, want SlotRequest) (release func(), rejection Rejection)
	// Load describes the work at the upstream beside this node to a call.
	Load func(match Match) *Load
	// Begin claims the execution of a call, Finish records its end, Refuse
	// returns the state of a call that was opened age ago and has it refused
	// from then on if it was not seen.
	Begin  func(now time.Time, claim Claim) sycamorerun.Decision
	Finish func(now time.Time, claim Claim, ending Completion)
	Refuse func(now time.Time, id string, age time.Duration) CallState
	// Open opens a stream to the node at an address.
	Open func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error)
	// Upstream sends requests to the upstream beside this node, see Transport.
	Upstream http.RoundTripper

	// Now is the clock.
	Now func() time.Time
	// BodyWait bounds the time in which a caller sends nothing of a body that is
	// being read.
	BodyTimeout time.Duration
	// QueryWait bounds the query about a call whose stream was lost.
	QueryTimeout time.Duration
	// Grace is the time between the start of a drain and the first refusal, in
	// which the other nodes learn of the drain.
	Grace time.Duration
	// Linger is the longest time after Grace in which callers are still served,
	// each asked to close its connection, while peers are refused.
	Linger time.Duration
	Logger log.Logger
	Scope  tally.Scope

	// limits are those that SetLimits set last.
	limits atomic.Pointer[limits]
	drain  drain
	pool   pool
	// returns are the calls that were refused here.
	refusals *refusalCache
	// waiting counts the streams of peers that wait for their next call.
	idlePeerStreams atomic.Int64
	metrics         metrics
}

// New returns a forwarder with defaults for everything but the collaborators.
func New(self string) *Forwarder {
	f := &Forwarder{
		Self: self, Contract: DefaultContract, Target: func() string { return "" }, Now: time.Now,
		BodyTimeout: DefaultBodyTimeout, QueryTimeout: DefaultQueryTimeout, Grace: DefaultGrace,
		Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	}
	f.SetLimits(DefaultLimits)
	f.refusals = newRefusalCache()
	return f
}

// Server returns a server for callers. Its connections come from a
// listener.Listener, which bounds header and time as the limits say.
func (f *Forwarder) Server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
