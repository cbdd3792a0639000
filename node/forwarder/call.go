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
)

// call is a request on its way to an upstream.
type call struct {
	match    Match
	id       string
	level    int
	method   string
	host     string
	target   string
	header   http.Header
	trailers []string
	// trailer holds the values of trailers once the body has ended.
	trailer http.Header
	length  int64
	// body is the request body if complete, otherwise stream yields it.
	complete bool
	body     []byte
	stream   *upload
	// unread says that a body is left on an HTTP/1 connection of the caller. The
	// connection must then be closed, since the rest of the body would be read
	// as the next request.
	unread bool
	// limits are those in force when the call began, persistent says that the
	// caller keeps its connection. Both are for calls of callers.
	limits     *limits
	persistent bool

	key      string
	print    uint64
	deadline time.Time
	// began is when the call entered at this node, arrived when it entered the
	// fleet.
	began   time.Time
	arrived time.Time
	// until is when the caller has said that it gives up; zero means not said.
	until time.Time
	// reply is the time that is left to tell a peer that the call got no slot.
	reply time.Duration
}

// want describes the call for the queue.
func (c *call) want() SlotRequest {
	want := SlotRequest{Rank: c.match.Rank, Objective: c.match.Objective, Arrived: c.arrived, Nested: c.match.Nested}
	if !c.deadline.IsZero() {
		want.Deadline = c.deadline.Add(-c.reply)
	}
	return want
}

// claim names the attempt with the given id for the deduplicator.
func (c *call) claim(id string) Claim {
	return Claim{ID: id, Key: c.key, Fingerprint: c.print}
}

// identity returns the id of the n-th attempt of the call. Attempts have ids
// of their own, since the refusal of one must not refuse the next.
func (c *call) identity(n int) string {
	return c.id + "/" + strconv.Itoa(n)
}

// describe returns a call that begins at now, without what depends on the route.
func (f *Forwarder) describe(now time.Time, r *http.Request) *call {
	return &call{
		id: uuid.NewString(), began: now, arrived: now, level: 1, limits: f.limits.Load(), persistent: persistent(r),
		unread: r.ProtoMajor == 1 && r.ContentLength != 0, method: r.Method, host: r.Host, length: r.ContentLength,
	}
}

// parse checks a caller's request and describes it as a call, without its body.
func (f *Forwarder) parse(now time.Time, r *http.Request) (*call, *failure) {
	c := f.describe(now, r)
	if r.Method == http.MethodConnect || r.URL.Path == "" {
		return c, notRun(reasonRequest)
	}
	if dotted(r.URL.Path) {
		return c, notRun(reasonPath)
	}
	if failed := c.limits.admits(r); failed != nil {
		return c, failed
	}
	match, ok := f.Match(r)
	if !ok {
		return c, notRun(reasonRoute)
	}
	c.match = match
	waits, err := stated(r.Header.Get(f.Contract.Deadline))
	if err != nil {
		return c, notRun(reasonDeadline)
	}
	if waits > 0 {
		c.until = now.Add(waits)
		c.deadline = c.until
	}
	if match.Timeout > 0 && (waits == 0 || match.Timeout < waits) {
		c.deadline = now.Add(match.Timeout)
	}
	if level, err := strconv.Atoi(r.Header.Get(f.Contract.Attempt)); err == nil && level > 1 {
		c.level = level
	}
	c.target = r.URL.RequestURI()
	if arrived, ok := f.returns.first(now, c); ok {
		c.arrived = arrived
	}
	c.header = f.clean(r.Header)
	set(c.header, f.Contract.Origin, f.Service)
	c.trailers = announced(r.Trailer)
	c.trailer = blank(c.trailers)
	if key := c.header.Get(f.Contract.Key); key != "" {
		c.key = match.Service + "/" + key
	}
	return c, nil
}

// dotted reports whether path has a segment that an upstream may resolve to a
// path outside the prefix that the router matched.
func dotted(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// stated returns how long the caller has said that it waits; zero means that it
// has not said.
func stated(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil || ms == 0 {
		return 0, errors.Errorf("deadline %q is not a positive number of milliseconds", text)
	}
	// A week is beyond every timeout and keeps the product in range.
	return time.Duration(min(ms, 7*24*3600*1000)) * time.Millisecond, nil
}

// fingerprint identifies what a key stands for, including who asks, so that a
// recorded response is not given to a different request.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.method, c.host, c.target} {
		writePart(digest, part)
	}
	for _, name := range []string{"Authorization", "Cookie"} {
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

// fill sets the values of the announced trailers.
func (c *call) fill(trailer http.Header) {
	for name := range c.trailer {
		if values, ok := trailer[name]; ok {
			c.trailer[name] = values
		}
	}
}

// request builds the request for the upstream.
func (f *Forwarder) request(now time.Time, c *call, n uint32, body io.ReadCloser) (*http.Request, error) {
	address, err := url.ParseRequestURI(c.target)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	address.Scheme, address.Host = "http", "upstream"
	header := c.header.Clone()
	set(header, f.Contract.Request, c.id)
	set(header, f.Contract.Attempt, strconv.Itoa(int(n)))
	set(header, f.Contract.Target, f.Target())
	if !c.deadline.IsZero() {
		set(header, f.Contract.Deadline, strconv.FormatInt(max(1, c.deadline.Sub(now).Milliseconds()), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	request := &http.Request{
		Method: c.method, URL: address, Host: c.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body, ContentLength: c.length, Trailer: c.trailer,
	}
	if c.complete {
		request.GetBody = func() (io.ReadCloser, error) { return c.reader(), nil }
	}
	return request, nil
}
