package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"sycamorerun"
	"sycamorerun/node/requester"
)

// ReasonCanceled is the reason of a call whose caller has left.
const ReasonCanceled = "canceled"

// Values of the header Sycamorerun-Reason.
const (
	reasonNoRoute         = "no-route"
	reasonBadRequest      = "bad-request"
	reasonBadPath         = "bad-path"
	reasonBadDeadline     = "bad-deadline"
	reasonHeadersTooLarge = "headers-too-large"
	reasonHeadersSlow     = "headers-slow"
	reasonBodyTooLarge    = "body-too-large"
	reasonBodyIncomplete  = "body-incomplete"
	reasonBodySlow        = "body-slow"
	reasonEvicted         = "evicted"
	reasonKeyMismatch     = "key-mismatch"
	reasonKeyElsewhere    = "key-elsewhere"
	reasonUnauthorized    = "unauthorized"
	reasonQuota           = "quota"

	reasonNoUpstream      = "no-upstream"
	reasonDraining        = "draining"
	reasonPeerUnreachable = "peer-unreachable"
	reasonRejected        = requester.ReasonRejected
	reasonMisdirected     = requester.ReasonMisdirected
	reasonPeerNotStarted  = "peer-not-started"

	reasonDeadlineExceeded   = "deadline"
	reasonIdle               = "idle"
	reasonStopping           = "stopping"
	reasonCanceled           = ReasonCanceled
	reasonPeerLost           = "peer-lost"
	reasonUpstreamBroken     = "upstream-broken"
	reasonResponseIncomplete = "response-incomplete"
)

// failure describes an attempt that ended without a response.
type failure struct {
	result sycamorerun.Result
	reason string
	load   *Load
	// sent says that the call may have reached an upstream, even one that
	// rejected it.
	sent bool
	// unseen says that the stream of the call was lost or closed, and that the
	// upstream has not got the call over it and never will.
	unseen bool
	// retryAfter is the time after which capacity is expected; zero means
	// unknown.
	retryAfter time.Duration
}

func notRun(reason string) *failure { return &failure{result: sycamorerun.NotRun, reason: reason} }
func unknown(reason string) *failure {
	return &failure{result: sycamorerun.Unknown, reason: reason, sent: true}
}

const (
	// minRetryAfter is the minimum delay that a caller is told. Slots become
	// free within it, and an earlier retry costs more than it gains.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is the delay that a caller is told if nothing is known
	// of the capacity, for example if there is no upstream. The announcement of
	// a new upstream takes about this long to arrive.
	defaultRetryAfter = 250 * time.Millisecond
	// retryAfterJitter spreads the retries of callers that were refused
	// together.
	retryAfterJitter = 0.2
)

// retryAfterHeader returns the value of the header Retry-After, in seconds with
// fractions. The random number is in [0, 1).
func (f *failure) retryAfterHeader(random float64) string {
	wait := f.retryAfter
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	seconds := max(wait, minRetryAfter).Seconds() * (1 + retryAfterJitter*(2*random-1))
	return strconv.FormatFloat(max(seconds, minRetryAfter.Seconds()), 'f', 3, 64)
}

// requestErrorStatuses are the statuses of failures that the request itself
// caused.
var requestErrorStatuses = map[string]int{
	reasonNoRoute:         http.StatusNotFound,
	reasonBadRequest:      http.StatusBadRequest,
	reasonBadPath:         http.StatusBadRequest,
	reasonBadDeadline:     http.StatusBadRequest,
	reasonHeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	reasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	reasonBodyIncomplete:  http.StatusBadRequest,
	reasonBodySlow:        http.StatusRequestTimeout,
	reasonKeyMismatch:     http.StatusUnprocessableEntity,
	reasonUnauthorized:    http.StatusUnauthorized,
	reasonQuota:           http.StatusTooManyRequests,
}

// status returns the HTTP status for the caller.
func (f *failure) status() int {
	if f.reason == reasonBodyTooLarge {
		// This holds also if the body was streamed and the upstream may have
		// seen a part of it, since a retry would be refused again.
		return http.StatusRequestEntityTooLarge
	}
	if f.result == sycamorerun.NotRun {
		if status, ok := requestErrorStatuses[f.reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	if f.reason == reasonDeadlineExceeded || f.reason == reasonIdle {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// isRequestError reports whether the request itself caused the failure.
func (f *failure) isRequestError() bool {
	_, ok := requestErrorStatuses[f.reason]
	return ok
}
