package forwarder

import (
	"net/http"

	"sycamorerun"
)

// Values of the header Sycamorerun-Reason.
const (
	reasonRoute      = "no-route"
	reasonRequest    = "bad-request"
	reasonPath       = "bad-path"
	reasonDeadline   = "bad-deadline"
	reasonHeaders    = "headers-too-large"
	reasonBody       = "body-too-large"
	reasonBodyBroken = "body-incomplete"
	reasonBodySlow   = "body-slow"
	reasonKey        = "key-mismatch"
	reasonMoved      = "key-elsewhere"

	reasonNoUpstream = "no-upstream"
	reasonDraining   = "draining"
	reasonPeer       = "peer-unreachable"
	reasonRefused    = "refused"
	reasonUpstream   = "upstream-unreachable"
	reasonQueried    = "peer-not-started"

	reasonExpired   = "deadline"
	reasonIdle      = "idle"
	reasonCanceled  = "canceled"
	reasonLost      = "peer-lost"
	reasonBroken    = "upstream-broken"
	reasonTruncated = "response-incomplete"
	reasonUnframed  = "response-unframed"
)

// failure is the end of an attempt without a response.
type failure struct {
	result sycamorerun.Result
	reason string
	load   *Load
}

func notRun(reason string) *failure  { return &failure{result: sycamorerun.NotRun, reason: reason} }
func unknown(reason string) *failure { return &failure{result: sycamorerun.Unknown, reason: reason} }

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
