package forwarder

import (
	"hash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sycamorerun"
)

// call is a request that is being forwarded to an upstream.
type call struct {
	match         Match
	id            string
	parentAttempt int
	method        string
	host          string
	target        string
	header        http.Header
	trailers      []string
	// trailer holds the values of the trailers once the body has ended.
	trailer http.Header
	length  int64
	// buffered says that body holds the whole request body. Otherwise upload
	// streams it.
	buffered bool
	body     []byte
	upload   *upload
	// bodyUnread says that an unread body remains on the caller's HTTP/1
	// connection. The connection must then be closed, because the remaining
	// bytes would be parsed as the next request.
	bodyUnread bool
	// refusedByDrain says that the call would outlast the drain of this node. Its
	// connection is closed, so that the caller connects to another node.
	refusedByDrain bool
	// limits are the limits in force when the call started. persistent says that
	// the caller keeps its connection open. Both are set only for calls received
	// from callers, not from peers.
	limits     *limits
	persistent bool

	key         string
	fingerprint uint64
	// credentials are the values of the field Authorization if the upstream does
	// not get them.
	credentials []string
	deadline    time.Time
	// startedAt is when the call reached this node, arrived when it reached the
	// first node.
	startedAt time.Time
	arrived   time.Time
	// callerDeadline is the deadline that the caller sent; zero means none.
	callerDeadline time.Time
	// replyMargin is the time reserved before the deadline for telling the peer
	// that the call got no slot.
	replyMargin time.Duration
}

// slotRequest returns the request for a slot of the upstream.
func (c *call) slotRequest() SlotRequest {
	request := SlotRequest{Rank: c.match.Rank, Objective: c.match.Objective, Arrived: c.arrived, Nested: c.match.Nested, Account: c.match.Account}
	if !c.deadline.IsZero() {
		request.Deadline = c.deadline.Add(-c.replyMargin)
	}
	return request
}

// claim returns the claim of an attempt.
func (c *call) claim(id sycamorerun.CallID) Claim {
	return Claim{ID: id, Key: c.key, Fingerprint: c.fingerprint}
}

// attemptID returns the id of the n-th attempt for logs.
func (c *call) attemptID(n int) string {
	return c.id + "/" + strconv.Itoa(n)
}

// newCall returns a call that starts at now, without the fields that depend on
// the route.
func (f *Forwarder) newCall(now time.Time, r *http.Request) *call {
	return &call{
		id: uuid.NewString(), startedAt: now, arrived: now, parentAttempt: 1, limits: f.limits.Load(), persistent: persistent(r),
		bodyUnread: r.ProtoMajor == 1 && r.ContentLength != 0, method: r.Method, host: r.Host, length: r.ContentLength,
	}
}

// parseRequest validates a caller's request and returns it as a call without its
// body.
func (f *Forwarder) parseRequest(now time.Time, r *http.Request) (*call, *failure) {
	c := f.newCall(now, r)
	if r.Method == http.MethodConnect || r.URL.Path == "" {
		return c, notRun(reasonBadRequest)
	}
	if hasDotSegment(r.URL.Path) {
		return c, notRun(reasonBadPath)
	}
	if failed := c.limits.check(r); failed != nil {
		return c, failed
	}
	match, ok := f.Match(r)
	if !ok {
		return c, notRun(reasonNoRoute)
	}
	c.match = match
	if failed := f.admitAccount(now, match); failed != nil {
		return c, failed
	}
	callerTimeout, err := parseDeadline(r.Header.Get(f.Contract.Deadline))
	if err != nil {
		return c, notRun(reasonBadDeadline)
	}
	if callerTimeout > 0 {
		c.callerDeadline = now.Add(callerTimeout)
		c.deadline = c.callerDeadline
	}
	if match.Timeout > 0 && (callerTimeout == 0 || match.Timeout < callerTimeout) {
		c.deadline = now.Add(match.Timeout)
	}
	if attempt, err := strconv.Atoi(r.Header.Get(f.Contract.Attempt)); err == nil && attempt > 1 {
		c.parentAttempt = attempt
	}
	c.target = r.URL.RequestURI()
	if arrived, ok := f.refusals.takeArrival(now, c); ok {
		c.arrived = arrived
	}
	c.header = f.endToEndHeader(r.Header)
	setHeader(c.header, f.Contract.Origin, f.Service)
	c.trailers = trailerNames(r.Trailer)
	f.replaceCredentials(c, r.Header)
	c.trailer = emptyTrailer(c.trailers)
	if key := c.header.Get(f.Contract.Key); key != "" {
		c.key = keyScope(match) + "/" + key
	}
	return c, nil
}

// keyScope returns the scope of an idempotency key. Accounts choose their keys
// independently of each other. Names contain no "@", so that scopes are distinct.
func keyScope(match Match) string {
	if match.Account == "" {
		return match.Service
	}
	return match.Service + "@" + match.Account
}

// hasDotSegment reports whether path has a "." or ".." segment, which an
// upstream may resolve to a path outside the prefix that the router matched.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// parseDeadline parses the deadline header of a caller; zero means that the
// caller sent none.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil || ms == 0 {
		return 0, errors.Errorf("deadline %q is not a positive number of milliseconds", text)
	}
	// A week exceeds every timeout and avoids an overflow of the duration.
	return time.Duration(min(ms, 7*24*3600*1000)) * time.Millisecond, nil
}

// computeFingerprint hashes the request, including the caller's credentials, so
// that a response recorded for an idempotency key is not returned for a
// different request.
func (c *call) computeFingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.method, c.host, c.target} {
		writePart(digest, part)
	}
	if c.match.Account != "" {
		// An account may send a request again with another of its keys.
		writePart(digest, c.match.Account)
	} else {
		for _, value := range c.credentials {
			writePart(digest, headerAuthorization)
			writePart(digest, value)
		}
	}
	for _, name := range []string{headerAuthorization, "Cookie"} {
		for _, value := range c.header[name] {
			writePart(digest, name)
			writePart(digest, value)
		}
	}
	writePart(digest, strconv.FormatInt(c.length, 10))
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

func writePart(digest hash.Hash64, part string) {
	_, _ = io.WriteString(digest, strconv.Itoa(len(part))+":"+part)
}

// setTrailers sets the values of the announced trailers.
func (c *call) setTrailers(trailer http.Header) {
	for name := range c.trailer {
		if values, ok := trailer[name]; ok {
			c.trailer[name] = values
		}
	}
}

// newUpstreamRequest returns the request for the upstream.
func (f *Forwarder) newUpstreamRequest(now time.Time, c *call, attemptNumber uint32, body io.ReadCloser) (*http.Request, error) {
	address, err := url.ParseRequestURI(c.target)
	if err != nil {
		return nil, errors.Wrap(err, "parse request target")
	}
	address.Scheme, address.Host = "http", "upstream"
	header := c.header.Clone()
	setHeader(header, f.Contract.Request, c.id)
	setHeader(header, f.Contract.Attempt, strconv.Itoa(int(attemptNumber)))
	setHeader(header, f.Contract.Target, f.Target())
	if !c.deadline.IsZero() {
		setHeader(header, f.Contract.Deadline, strconv.FormatInt(max(1, c.deadline.Sub(now).Milliseconds()), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its default
	}
	request := &http.Request{
		Method: c.method, URL: address, Host: c.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body, ContentLength: c.length, Trailer: c.trailer,
	}
	if c.buffered {
		request.GetBody = func() (io.ReadCloser, error) { return c.bodyReader(), nil }
	}
	return request, nil
}
