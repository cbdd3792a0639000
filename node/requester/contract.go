package requester

import (
	"net/http"
)

// Contract names the headers by which an upstream describes its responses. An
// empty name disables the check.
type Contract struct {
	// Identity carries a request ID that the response must repeat. A response with
	// an ID to a request without one is accepted only on a new connection.
	Identity string
	// Request carries a request ID that the response may repeat. A response with a
	// different ID belongs to another request.
	Request string
	// Unexecuted marks a response to a request that the upstream did not execute.
	// If the name is set, status 421 means the same. Such a response may lack the
	// ID in Identity only if it is the first one on its connection, since an
	// upstream may write an earlier one once more.
	Unexecuted string
	// Signature must be present on each response with a 2xx status.
	Signature string
}

// responseClass is the result of checking a response against the pending
// request.
type responseClass int

const (
	// matching is the response to the pending request.
	matching responseClass = iota
	// mismatched is the response to an earlier request.
	mismatched
	// unidentified lacks the request ID that it must repeat, or has an ID although
	// the request has none.
	unidentified
	// rejected is marked as the response to a request that was not executed.
	rejected
	// misdirected is the response of an instance other than the target.
	misdirected
	// unsigned lacks the signature.
	unsigned
)

// classify checks a response against the pending request. The first response on
// a connection can't be the response to an earlier request.
func (c *Contract) classify(request, response http.Header, status int, first bool) responseClass {
	identity, echoedIdentity := echoedIDs(request, response, c.Identity)
	requestID, echoedRequestID := echoedIDs(request, response, c.Request)
	missing := identity != "" && len(echoedIdentity) == 0
	unexpected := identity == "" && lookup(response, c.Identity) != ""
	// An upstream that rejects a new connection does not read the headers and
	// can't repeat the ID.
	switch {
	case mismatches(echoedIdentity, identity) || mismatches(echoedRequestID, requestID):
		return mismatched
	case (missing || unexpected) && !first:
		return unidentified
	case c.Unexecuted != "" && status == http.StatusMisdirectedRequest:
		return misdirected
	case c.Unexecuted != "" && lookup(response, c.Unexecuted) != "":
		return rejected
	case missing:
		return unidentified
	case c.Signature != "" && status >= 200 && status < 300 && lookup(response, c.Signature) == "":
		return unsigned
	default:
		return matching
	}
}

// requestID returns the ID that a response to the request repeats, or "" if there
// is none.
func (c *Contract) requestID(request http.Header) string {
	if id := lookup(request, c.Identity); id != "" {
		return id
	}
	return lookup(request, c.Request)
}

// identifies reports whether the response repeats any ID of the request.
func (c *Contract) identifies(request, response http.Header) bool {
	_, echoedIdentity := echoedIDs(request, response, c.Identity)
	_, echoedRequestID := echoedIDs(request, response, c.Request)
	return len(echoedIdentity)+len(echoedRequestID) > 0
}

// echoedIDs returns the request ID in the named header and the values of that
// header in the response. It ignores the response if the request has no ID.
func echoedIDs(request, response http.Header, name string) (id string, echoed []string) {
	if id = lookup(request, name); id != "" {
		echoed = response.Values(name)
	}
	return id, echoed
}

// mismatches reports whether the response repeats anything but the given ID.
func mismatches(echoed []string, id string) bool {
	return len(echoed) > 1 || len(echoed) == 1 && echoed[0] != id
}

// lookup returns the first value of the named header, or "" if name is empty.
func lookup(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}
