package forwarder

import (
	"net/http"
	"slices"

	"sycamorerun"
)

// Contract names the headers that callers, nodes and upstreams exchange. An
// empty name means that the header isn't used.
type Contract struct {
	// Deadline carries the milliseconds that a request may still take, Attempt
	// the level of retries and Key the idempotency key.
	Deadline string
	Attempt  string
	Key      string
	// Outcome and Reason tell the caller how its request ended.
	Outcome string
	Reason  string
	// Request carries the id that the node gives to a call.
	Request string
	// Identity carries the caller's own id of a request. It is passed on
	// unchanged, and a response must repeat it.
	Identity string
	// Origin names the service of the node at which a request entered.
	Origin string
	// Target names the upstream instance that a request is meant for.
	Target string
	// Unexecuted marks a response to a request that the upstream did not run.
	Unexecuted string
	// Signature is present on each response that the upstream made by running
	// a request.
	Signature string
	// Load describes the work at the upstream, in a response. It is passed on to
	// the caller. Nodes don't read it: the node beside the upstream sends it all
	// its requests and knows as much from its own count.
	Load string
}

// DefaultContract has the product's own headers.
var DefaultContract = Contract{
	Deadline: sycamorerun.HeaderDeadline, Attempt: sycamorerun.HeaderAttempt, Key: sycamorerun.HeaderKey,
	Outcome: sycamorerun.HeaderOutcome, Reason: sycamorerun.HeaderReason, Request: sycamorerun.HeaderRequest,
}

// set gives a header its value, unless the contract has no name for it.
func setHeader(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}

// passed reports whether a header with the internal prefix is passed on
// between callers and upstreams all the same.
func (c *Contract) forwards(name string) bool {
	return slices.Contains([]string{c.Identity, c.Unexecuted, c.Signature, c.Load}, name)
}
