package forwarder

import (
	"net/http"
	"slices"

	"sycamorerun"
)

// Contract names the headers that callers, nodes and upstreams exchange. A
// header with an empty name is not used.
type Contract struct {
	// Deadline carries the remaining time of a request in milliseconds, Attempt
	// the attempt number and Key the idempotency key.
	Deadline string
	Attempt  string
	Key      string
	// Outcome and Reason tell the caller how its request ended.
	Outcome string
	Reason  string
	// Request carries the id that the node assigns to a call.
	Request string
	// Identity carries the caller's own id of a request. It is forwarded
	// unchanged, and the response must repeat it.
	Identity string
	// Origin names the service of the node at which a request entered.
	Origin string
	// Account names the client account of a request to the upstream. Scheme is
	// the scheme of the field Authorization that carries the account's key.
	Account string
	Scheme  string
	// Target names the upstream instance that a request is meant for.
	Target string
	// Unexecuted marks a response to a request that the upstream did not run.
	Unexecuted string
	// Signature is present on each response that the upstream produced by
	// running a request.
	Signature string
	// Load describes the load of the upstream in a response. It is forwarded to
	// the caller. Nodes read only the slowdown from it: all requests to an upstream
	// go through the node beside it, whose own counters give the rest.
	Load string
	// ParseSlowdown returns the slowdown that a value of Load states: how long work
	// takes on the upstream's machine at this moment, relative to its usual time. It
	// reports false if the value states none. Nil means that no value does.
	ParseSlowdown func(load string) (float64, bool)
}

// DefaultContract names the headers of sycamorerun itself.
var DefaultContract = Contract{
	Deadline: sycamorerun.HeaderDeadline, Attempt: sycamorerun.HeaderAttempt, Key: sycamorerun.HeaderKey,
	Outcome: sycamorerun.HeaderOutcome, Reason: sycamorerun.HeaderReason, Request: sycamorerun.HeaderRequest,
	Account: sycamorerun.HeaderAccount, Scheme: "Bearer",
}

// setHeader sets a header unless its name is empty.
func setHeader(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// forwards reports whether a header with the internal prefix is nevertheless
// forwarded between callers and upstreams.
func (c *Contract) forwards(name string) bool {
	return slices.Contains([]string{c.Identity, c.Unexecuted, c.Signature, c.Load}, name)
}
