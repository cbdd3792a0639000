// Package requester sends requests to the upstream beside the node over
// connections that it keeps, checks whose response arrives, and says of each
// request without a response whether it may have run.
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
	// headBytes bounds the head of a response.
	headBytes = 64 << 10
	// bufferBytes is the size of the buffers of a connection. A head with a small
	// body takes one write.
	bufferBytes = 4 << 10
	// wholeBytes bounds the bodies that are written before the response is read.
	// The operating system takes that much from the calling goroutine although
	// the upstream reads nothing.
	wholeBytes = 32 << 10
	// dialWait bounds the time for a connection to the upstream, which runs on the
	// same instance.
	dialWait = 2 * time.Second
)

// Requester is an http.RoundTripper to one upstream. It sends no request a
// second time once a part of it was written. A response that is returned must be
// read to its end or closed.
type Requester struct {
	// Contract is set before the first request.
	Contract Contract
	// Dial opens a connection to the upstream. It may be replaced before the first
	// request.
	Dial func(ctx context.Context) (net.Conn, error)

	pool pool
}

// New returns a requester to the upstream at address that has at most
// connections open.
func New(address netip.AddrPort, connections int) *Requester {
	dialer := &net.Dialer{Timeout: dialWait, KeepAliveConfig: probes, Control: bound}
	return &Requester{
		Dial: func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address.String())
		},
		pool: pool{most: connections},
	}
}

// Close closes the kept connections and refuses further requests. Requests in
// flight keep their connections.
func (r *Requester) Close() { r.pool.close() }

// RoundTrip implements http.RoundTripper. Its errors are of type *Failure.
func (r *Requester) RoundTrip(request *http.Request) (*http.Response, error) {
	out, failed := prepare(request)
	for failed == nil {
		var conn *conn
		if conn, failed = r.connect(request.Context()); failed != nil {
			break
		}
		x := &exchange{pool: &r.pool, contract: &r.Contract, conn: conn, out: out}
		var response *http.Response
		if response, failed = x.run(request.Context()); failed == nil {
			response.Request = request
			return response, nil
		}
		if failed.Reason != ReasonUnreachable || !conn.kept || request.Context().Err() != nil || !out.rewind() {
			return nil, failed
		}
		// The upstream closed a kept connection, and nothing was written to it.
		failed = nil
	}
	if request.Body != nil {
		_ = request.Body.Close()
	}
	return nil, failed
}

// connect returns the connection that was kept last and is still open, or a new
// one.
func (r *Requester) connect(ctx context.Context) (*conn, *Failure) {
	for {
		kept, reason := r.pool.take()
		switch {
		case reason != "":
			return nil, &Failure{Execution: NotExecuted, Reason: reason}
		case kept == nil:
			fresh, err := r.Dial(ctx)
			if err != nil {
				r.pool.release()
				return nil, &Failure{Execution: NotExecuted, Reason: ReasonUnreachable, Cause: err}
			}
			return newConn(fresh), nil
		case time.Now().Before(kept.expires) && silent(kept.raw):
			return kept, nil
		}
		r.pool.drop(kept)
	}
}

// outgoing is a request in the form in which it is written.
type outgoing struct {
	*http.Request
	// source is the body if it is written while the response is read.
	source *source
}

// rewind makes the body readable once more, if it can.
func (o *outgoing) rewind() bool {
	if o.source != nil {
		return false
	}
	if o.GetBody == nil {
		return o.Body == nil || o.Body == http.NoBody
	}
	body, err := o.GetBody()
	o.Body = body
	return err == nil
}

// prepare checks the request. A body that GetBody can make again is in memory
// and written at once if it is small, all others are streams.
func prepare(request *http.Request) (*outgoing, *Failure) {
	if err := valid(request); err != nil {
		return nil, &Failure{Execution: NotExecuted, Reason: ReasonRequest, Cause: err}
	}
	out := &outgoing{Request: request.WithContext(context.Background())}
	length := request.ContentLength
	switch {
	case request.Body == nil || request.Body == http.NoBody:
	case length > 0 && length <= wholeBytes && request.GetBody != nil:
	default:
		out.source = &source{ReadCloser: request.Body, left: length}
		if length <= 0 {
			// Keeps net/http from waiting for the first byte before the head.
			out.source.left, out.ContentLength, out.TransferEncoding = -1, -1, []string{"chunked"}
		}
		out.Body = out.source
	}
	return out, nil
}

// source is a body that is written while the response is read.
type source struct {
	io.ReadCloser
	// left is what is missing of a body with a length, otherwise negative. More
	// is not read: net/http asks for no more.
	left  int64
	ended atomic.Bool
}

// Read implements io.Reader. A body with a length ends with its last byte,
// since for the upstream the request is complete then.
func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.ReadCloser.Read(p)
	if s.left > 0 {
		if s.left -= int64(n); s.left == 0 {
			err = io.EOF
		}
	}
	if err == io.EOF {
		s.ended.Store(true)
	}
	return n, err
}
