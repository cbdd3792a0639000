// Package requester sends requests to the upstream beside the node over
// persistent connections. It verifies that a response belongs to its request,
// and reports for each request without a response whether the upstream may have
// executed it.
package requester

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the size of the read and write buffers of a connection. A
	// header with a small body takes a single write.
	bufferBytes = 4 << 10
	// maxBufferedBodyBytes is the maximum size of a body that is written
	// completely before the response is read. The socket buffers hold that much
	// without blocking the caller, even if the upstream reads nothing.
	maxBufferedBodyBytes = 32 << 10
	// dialTimeout limits the time to connect to the upstream, which runs on the
	// same instance.
	dialTimeout = 2 * time.Second
)

// Requester is an http.RoundTripper for a single upstream. It never resends a
// request of which any part was written. Callers must read a returned response
// to its end or close it.
type Requester struct {
	// Contract must be set before the first request.
	Contract Contract
	// Dial opens a connection to the upstream. It may be replaced before the first
	// request.
	Dial func(ctx context.Context) (net.Conn, error)

	pool pool
}

// New returns a requester for the upstream at address that opens at most the
// given number of connections.
func New(address netip.AddrPort, connections int) *Requester {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: controlSocket}
	return &Requester{
		Dial: func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address.String())
		},
		pool: pool{maxOpen: connections},
	}
}

// Close closes the idle connections and rejects further requests. Requests in
// flight keep their connections.
func (r *Requester) Close() { r.pool.close() }

// RoundTrip implements http.RoundTripper. Its errors are of type *Failure.
func (r *Requester) RoundTrip(request *http.Request) (*http.Response, error) {
	out, failure := prepare(request)
	for failure == nil {
		var conn *conn
		if conn, failure = r.connect(request.Context(), r.Contract.requestID(request.Header)); failure != nil {
			break
		}
		x := &exchange{pool: &r.pool, contract: &r.Contract, conn: conn, out: out}
		var response *http.Response
		if response, failure = x.run(request.Context()); failure == nil {
			response.Request = request
			return response, nil
		}
		if failure.Reason != ReasonUnreachable || !conn.reused || request.Context().Err() != nil || !out.rewind() {
			return nil, failure
		}
		// The upstream closed a reused connection, and nothing was written to it.
		failure = nil
	}
	if request.Body != nil {
		_ = request.Body.Close()
	}
	return nil, failure
}

// connect returns the most recently used idle connection that is still open, or
// a new one. One on which the upstream refused the request ID is closed.
func (r *Requester) connect(ctx context.Context, id string) (*conn, *Failure) {
	for {
		idle, reason := r.pool.get()
		switch {
		case reason != "":
			return nil, &Failure{Execution: NotExecuted, Reason: reason}
		case idle == nil:
			netConn, err := r.Dial(ctx)
			if err != nil {
				r.pool.releaseSlot()
				return nil, &Failure{Execution: NotExecuted, Reason: ReasonUnreachable, Cause: err}
			}
			return newConn(netConn), nil
		case time.Now().Before(idle.expires) && !idle.hasRefused(id) && reusable(idle.raw):
			return idle, nil
		}
		r.pool.drop(idle)
	}
}

// outgoing is a request that is ready to be written.
type outgoing struct {
	*http.Request
	// streamed is the body if it is written while the response is read, otherwise
	// nil.
	streamed *streamedBody
}

// rewind restores the body for another attempt and reports whether that was
// possible.
func (o *outgoing) rewind() bool {
	if o.streamed != nil {
		return false
	}
	if o.GetBody == nil {
		return o.Body == nil || o.Body == http.NoBody
	}
	body, err := o.GetBody()
	o.Body = body
	return err == nil
}

// prepare validates the request. A small body that GetBody can recreate is in
// memory and is written before the response is read; all other bodies are
// streamed.
func prepare(request *http.Request) (*outgoing, *Failure) {
	if err := validate(request); err != nil {
		return nil, &Failure{Execution: NotExecuted, Reason: ReasonBadRequest, Cause: err}
	}
	out := &outgoing{Request: request.WithContext(context.Background())}
	length := request.ContentLength
	switch {
	case request.Body == nil || request.Body == http.NoBody:
	case length > 0 && length <= maxBufferedBodyBytes && request.GetBody != nil:
	default:
		out.streamed = &streamedBody{ReadCloser: request.Body, remaining: length}
		if length <= 0 {
			// Prevents net/http from reading the first byte of the body before it writes
			// the header.
			out.streamed.remaining, out.ContentLength, out.TransferEncoding = -1, -1, []string{"chunked"}
		}
		out.Body = out.streamed
	}
	return out, nil
}

// streamedBody is a request body that is written while the response is read.
type streamedBody struct {
	io.ReadCloser
	// remaining is the number of unread bytes of a body with a Content-Length, and
	// negative for other bodies. Bytes beyond the length are never read, since
	// net/http does not ask for them.
	remaining int64
	eof       atomic.Bool
}

// Close implements io.Closer. It does nothing, since net/http closes the body before it
// writes the end of it. The sender closes the inner body when it has ended.
func (s *streamedBody) Close() error { return nil }

// Read implements io.Reader. A body with a Content-Length ends with its last
// byte, since the request is complete for the upstream then.
func (s *streamedBody) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	n, err := s.ReadCloser.Read(p)
	if s.remaining > 0 {
		if s.remaining -= int64(n); s.remaining == 0 {
			err = io.EOF
		}
	}
	if err == io.EOF {
		s.eof.Store(true)
	}
	return n, err
}
