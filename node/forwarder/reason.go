package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"sycamorerun"
	"sycamorerun/node/requester"
)

// Values of the header Sycamorerun-Reason.
const (
	reasonRoute       = "no-route"
	reasonRequest     = "bad-request"
	reasonPath        = "bad-path"
	reasonDeadline    = "bad-deadline"
	reasonHeaders     = "headers-too-large"
	reasonHeadersSlow = "headers-slow"
	reasonBody        = "body-too-large"
	reasonBodyBroken  = "body-incomplete"
	reasonBodySlow    = "body-slow"
	reasonKey         = "key-mismatch"
	reasonMoved       = "key-elsewhere"

	reasonNoUpstream  = "no-upstream"
	reasonDraining    = "draining"
	reasonPeer        = "peer-unreachable"
	reasonRejected    = requester.ReasonRejected
	reasonMisdirected = requester.ReasonMisdirected
	reasonQueried     = "peer-not-started"

	reasonExpired   = "deadline"
	reasonIdle      = "idle"
	reasonCanceled  = "canceled"
	reasonLost      = "peer-lost"
	reasonBroken    = "upstream-broken"
	reasonTruncated = "response-incomplete"
)

// failure is the end of an attempt without a response.
type failure struct {
	result sycamorerun.Result
	reason string
	load   *Load
	// sent says that the call may have reached an upstream, also if that has
	// rejected it.
	sent bool
	// after is the time after which capacity is expected; zero means unknown.
	after time.Duration
}

func notRun(reason string) *failure { return &failure{result: sycamorerun.NotRun, reason: reason} }
func unknown(reason string) *failure {
	return &failure{result: sycamorerun.Unknown, reason: reason, sent: true}
}

const (
	// retryLeast is the least time that a caller is told to wait. Slots become
	// free within it, and a caller that returns faster costs more than it gains.
	retryLeast = 50 * time.Millisecond
	// retryUnknown is told when nothing is known of the capacity, for example
	// when there is no upstream: news of one takes about this long to arrive.
	retryUnknown = 250 * time.Millisecond
	// retryJitter spreads the callers that were refused together.
	retryJitter = 0.2
)

// retryAfter returns the value of the header Retry-After, in seconds with
// fractions. The random number is in [0, 1).
func (f *failure) retryAfter(random float64) string {
	after := f.after
	if after <= 0 {
		after = retryUnknown
	}
	seconds := max(after, retryLeast).Seconds() * (1 + retryJitter*(2*random-1))
	return strconv.FormatFloat(max(seconds, retryLeast.Seconds()), 'f', 3, 64)
}

// faults are the statuses of requests that are themselves at fault.
var faults = map[string]int{
	reasonRoute:      http.StatusNotFound,
	reasonRequest:    http.StatusBadRequest,
	reasonPath:       http.StatusBadRequest,
	reasonDeadline:   http.StatusBadRequest,
	reasonHeaders:    http.StatusRequestHeaderFieldsTooLarge,
	reasonBody:       http.StatusRequestEntityTooLarge,
	reasonBodyBroken: http.StatusBadRequest,
	reasonBodySlow:   http.StatusRequestTimeout,
	reasonKey:        http.StatusUnprocessableEntity,
}

// status returns the HTTP status for the caller.
func (f *failure) status() int {
	if f.reason == reasonBody {
		// Also for a streamed body: the upstream may have seen a part of it, and a
		// repetition is refused again.
		return http.StatusRequestEntityTooLarge
	}
	if f.result == sycamorerun.NotRun {
		if status, ok := faults[f.reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	if f.reason == reasonExpired || f.reason == reasonIdle {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// fault reports whether the request itself is to blame.
func (f *failure) fault() bool {
	_, ok := faults[f.reason]
	return ok
}
