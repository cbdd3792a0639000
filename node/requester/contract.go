package requester

import (
	"net/http"
)

// Contract names the headers by which an upstream describes its responses. An
// empty name means that there is no such check.
type Contract struct {
	// Identity carries the id of a request, which its response repeats.
	Identity string
	// Request carries an id of a request that its response may repeat. A response
	// that has the id of another request responds to that one.
	Request string
	// Unexecuted marks a response to a request that the upstream did not run. If
	// it is set, a response with status 421 says the same.
	Unexecuted string
	// Signature is present on each response with a status 2xx.
	Signature string
}

// verdict is what a response says of the request that waits for one.
type verdict int

const (
	// own is a response that is passed on.
	own verdict = iota
	// foreign responds to an earlier request.
	foreign
	unidentified
	refused
	// misdirected is the response of another instance than the one meant.
	misdirected
	unsigned
)

// judge compares a response with the request that waits for it.
func (c *Contract) judge(request, response http.Header, status int) verdict {
	id, repeated := repeats(request, response, c.Identity)
	call, named := repeats(request, response, c.Request)
	// An upstream that rejects a request before it reads its headers repeats no
	// id.
	switch {
	case differs(repeated, id) || differs(named, call):
		return foreign
	case c.Unexecuted != "" && status == http.StatusMisdirectedRequest:
		return misdirected
	case c.Unexecuted != "" && lookup(response, c.Unexecuted) != "":
		return refused
	case id != "" && len(repeated) == 0:
		return unidentified
	case c.Signature != "" && status >= 200 && status < 300 && lookup(response, c.Signature) == "":
		return unsigned
	default:
		return own
	}
}

// repeats returns the id of a request in the header with a name, and what its
// response has there. Without an id nothing in the response counts.
func repeats(request, response http.Header, name string) (id string, repeated []string) {
	if id = lookup(request, name); id != "" {
		repeated = response.Values(name)
	}
	return id, repeated
}

// differs reports whether a response repeats something else than id.
func differs(repeated []string, id string) bool {
	return len(repeated) > 1 || len(repeated) == 1 && repeated[0] != id
}

// lookup returns the first value of a header that has a name.
func lookup(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}
