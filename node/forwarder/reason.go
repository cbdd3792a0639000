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
	reasonNoRoute         = "no-route"
	reasonBadRequest      = "bad-request"
	reasonBadPath         = "bad-path"
	reasonBadDeadline     = "bad-deadline"
	reasonHeadersTooLarge = "headers-too-large"
	reasonHeadersSlow     = "headers-slow"
	reasonBodyTooLarge    = "body-too-large"
	reasonBodyIncomplete  = "body-incomplete"
	reasonBodySlow        = "body-slow"
	reasonKeyMismatch     = "key-mismatch"
	reasonKeyElsewhere    = "key-elsewhere"

	reasonNoUpstream      = "no-upstream"
	reasonDraining        = "draining"
	reasonPeerUnreachable = "peer-unreachable"
	reasonRejected        = requester.ReasonRejected
	reasonMisdirected     = requester.ReasonMisdirected
	reasonPeerNotStarted  = "peer-not-started"

	reasonDeadlineExceeded   = "deadline"
	reasonIdle               = "idle"
	reasonCanceled           = "canceled"
	reasonPeerLost           = "peer-lost"
	reasonUpstreamBroken     = "upstream-broken"
	reasonResponseIncomplete = "response-incomplete"
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
	retryAfter time.Duration
}

func notRun(reason string) *failure { return &failure{result: sycamorerun.NotRun, reason: reason} }
func unknown(reason string) *failure {
	return &failure{result: sycamorerun.Unknown, reason: reason, sent: true}
}

const (
	// retryLeast is the least time that a caller is told to wait. Slots become
	// free within it, and a caller that returns faster costs more than it gains.
	minRetryAfter = 50 * time.Millisecond
	// retryUnknown is told when nothing is known of the capacity, for example
	// when there is no upstream: news of one takes about this long to arrive.
	defaultRetryAfter = 250 * time.Millisecond
	// retryJitter spreads the callers that were refused together.
	retryAfterJitter = 0.2
)

// retryAfter returns the value of the header Retry-After, in seconds with
// fractions. The random number is in [0, 1).
func (f *failure) retryAfterHeader(random float64) string {
	wait := f.retryAfter
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	seconds := max(wait, minRetryAfter).Seconds() * (1 + retryAfterJitter*(2*random-1))
	return strconv.FormatFloat(max(seconds, minRetryAfter.Seconds()), 'f', 3, 64)
}

// faults are the statuses of requests that are themselves at fault.
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
}

// status returns the HTTP status for the caller.
func (f *failure) status() int {
	if f.reason == reasonBodyTooLarge {
		// Also for a streamed body: the upstream may have seen a part of it, and a
		// repetition is refused again.
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

// fault reports whether the request itself is to blame.
func (f *failure) isRequestError() bool {
	_, ok := requestErrorStatuses[f.reason]
	return ok
}
