// Package forwarder is the data path of a node. It receives callers' requests,
// sends each to one upstream, directly or through the node beside it, and
// returns either the complete response or an outcome that says whether the
// request ran.
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
	"sycamorerun/node/estimator"
	"sycamorerun/node/pacer"
)

// Stream kinds.
const (
	KindCall  = "call"
	KindQuery = "query"
)

const (
	// maxBufferedBodyBytes bounds the bodies that are read into memory before
	// they are sent on. A buffered request body occupies no slot while its
	// caller sends it, and can be sent again. Larger bodies are streamed.
	maxBufferedBodyBytes = 32 << 10
	// chunkBytes is the size of the reads of a streamed body. With 8 bytes of
	// frame and 12 bytes of session header, a chunk fills exactly two TLS
	// records.
	chunkBytes = 32<<10 - 20
	// defaultMaxHeaderBytes bounds the header of a response, and that of a
	// request unless SetLimits sets another limit.
	defaultMaxHeaderBytes = 64 << 10
	// requestLineBytes is how much the server reads beyond its limit on the
	// header. It leaves room for the request line, which does not count towards
	// that limit.
	requestLineBytes = 4 << 10
	// maxFrameBytes fits the encoding of the largest header with its request
	// line and a buffered body.
	maxFrameBytes = 2*(maxHeaderBytes+requestLineBytes) + maxBufferedBodyBytes
	// headTimeout bounds the wait for the first frame on an opened stream.
	headTimeout = 10 * time.Second
)

// Defaults of the fields of Forwarder.
const (
	DefaultBodyTimeout  = 10 * time.Second
	DefaultQueryTimeout = 500 * time.Millisecond
	DefaultGrace        = 3 * time.Second
)

// Forwarder is the data path of one node. All function fields must be set before
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
	// Charge counts a request of a client account that has a rate. If the account
	// is beyond its quota, it returns when the account has room again.
	Charge func(now time.Time, account string) (retryAfter time.Duration, ok bool)
	// Pick chooses the instance for an attempt without an idempotency key. Each
	// successful Pick is followed by exactly one call of Observe.
	Pick    func(now time.Time, query Query) (sycamorerun.Instance, bool)
	Observe func(now time.Time, observation Observation)
	// Owner returns the instance that executes the calls with an idempotency
	// key. Pick and Observe are not called for them.
	Owner func(service, key string) (sycamorerun.Instance, bool)
	// CountCall counts a call towards the retry budget of its service.
	// AllowRetry reports whether a failed attempt may be repeated, and after
	// which delay.
	CountCall  func(now time.Time, service string)
	AllowRetry func(now time.Time, attempt Attempt) (time.Duration, bool)
	// HasOtherInstance reports whether the service has an instance that is not
	// among those excluded.
	HasOtherInstance func(service string, excluded []string) bool
	// Acquire waits for a slot at the upstream beside this node. The rejection
	// is zero if the call is admitted.
	Acquire func(ctx context.Context, now time.Time, request SlotRequest) (release func(), rejection Rejection)
	// Load returns the load of the upstream beside this node, as it matters to a
	// call.
	Load func(match Match) *Load
	// Begin claims the execution of a call. Launch reports whether a claimed call
	// may be handed to the upstream. Finish gives the claim back, unless Refuse has,
	// and records the end of the execution. End records that a call that arrived from
	// a peer has ended, whether it was executed or not.
	Begin  func(now time.Time, claim Claim) sycamorerun.Decision
	Launch func(id sycamorerun.CallID) bool
	Finish func(now time.Time, claim Claim, completion Completion)
	End    func(now time.Time, id sycamorerun.CallID)
	// Refuse returns the state of a call that a peer sent over a session. A call
	// that has not arrived yet will be refused when it does.
	Refuse func(sent sycamorerun.Session, sequence uint64) CallState
	// Open opens a stream to the node at an address.
	Open func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error)
	// Upstream sends requests to the upstream beside this node, see Transport.
	Upstream http.RoundTripper

	// Pacer paces large responses on the link of this machine.
	Pacer *pacer.Pacer

	// Now returns the current time.
	Now func() time.Time
	// BodyTimeout bounds the time in which a caller sends nothing of a body that
	// is being read.
	BodyTimeout time.Duration
	// QueryTimeout bounds the query about a call whose stream was lost.
	QueryTimeout time.Duration
	// Grace is the time between the start of a drain and the first refusal, in
	// which the other nodes learn of the drain.
	Grace time.Duration
	// Linger is the maximum time after Grace in which callers are still served
	// and told to close their connections, while peers are refused.
	Linger time.Duration
	Logger log.Logger
	Scope  tally.Scope

	// limits are the limits that were set last by SetLimits.
	limits atomic.Pointer[limits]
	drain  drain
	pool   pool
	// refusals holds the calls that this node refused.
	refusals      *refusalCache
	slowdown      slowdownRecord
	upstreamTimes *upstreamTimes
	// answerTimes holds how long the attempts of this node took to be answered.
	answerTimes *estimator.Estimator
	// lastSequence is the number of the newest attempt that was sent to a peer.
	lastSequence atomic.Uint64
	// idlePeerStreams counts the streams of peers that wait for their next call.
	idlePeerStreams atomic.Int64
	metrics         metrics
}

// New returns a forwarder. The function fields that connect it to other
// components have no defaults, except for Charge, which admits each request.
func New(self string) *Forwarder {
	f := &Forwarder{
		Self: self, Contract: DefaultContract, Target: func() string { return "" }, Now: time.Now,
		Charge:      func(time.Time, string) (time.Duration, bool) { return 0, true },
		BodyTimeout: DefaultBodyTimeout, QueryTimeout: DefaultQueryTimeout, Grace: DefaultGrace,
		Logger: log.NewNopLogger(), Scope: tally.NoopScope, Pacer: &pacer.Pacer{},
	}
	f.SetLimits(DefaultLimits)
	f.refusals, f.upstreamTimes, f.answerTimes = newRefusalCache(), newUpstreamTimes(), estimator.New()
	return f
}

// Server returns a server for callers. Its connections must come from a
// listener.Listener, which enforces the limits on header size and time.
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
