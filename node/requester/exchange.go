package requester

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInformational is the maximum number of 1xx responses before the final
	// one.
	maxInformational = 16
	// maxSkipped is the maximum number of responses to earlier requests before the
	// response to the pending one. An upstream in trouble may send them without end.
	maxSkipped = 16
	// maxSkippedBytes is the maximum size on the wire of the bodies of all responses
	// to earlier requests. A longer body may never end.
	maxSkippedBytes = 1 << 20
	// maxStatus is the largest valid status code (RFC 9110, section 15).
	maxStatus = 599
	// flushTimeout limits the time to write the last bytes of a request whose
	// response is complete.
	flushTimeout = 5 * time.Second
	// maxDrainBytes and drainTimeout limit how much of an unused response body is
	// read in order to keep the connection.
	maxDrainBytes = 16 << 10
	drainTimeout  = 50 * time.Millisecond
)

// Errors that occur as the cause of a Failure.
var (
	errInformational      = errors.New("too many informational (1xx) responses")
	errSkipped            = errors.New("too many responses to earlier requests")
	errProtocol           = errors.New("response is not valid HTTP/1 or switches protocols")
	errUnknownLength      = errors.New("response to an earlier request has an unknown length, since the connection carried a HEAD request")
	errEndsWithConnection = errors.New("response to an earlier request ends with the connection")
)

// exchange is a request and its response on a connection.
type exchange struct {
	pool     *pool
	contract *Contract
	conn     *conn
	out      *outgoing
	// stop detaches the request's context from the connection. detached is set if
	// that succeeded before the exchange was done.
	stop     func() bool
	detached bool
	// deadlineSet is set if the connection has a read or write deadline.
	deadlineSet bool
	// refs counts the users of the connection: the reader, and the sender of a
	// streamed body.
	refs atomic.Int32
	// mustClose is set if the connection must not be reused.
	mustClose atomic.Bool
	// responded is set once the response header was read, sent once the whole
	// request was written.
	responded, sent atomic.Bool
}

// run sends the request and reads the response header.
func (x *exchange) run(ctx context.Context) (*http.Response, *Failure) {
	c := x.conn
	c.wrote.Store(false)
	c.sentHEAD = c.sentHEAD || x.out.Method == http.MethodHead
	x.refs.Store(1)
	x.stop = context.AfterFunc(ctx, func() { x.pool.drop(c) })
	if x.out.streamed != nil {
		x.setUserTimeout(0)
		x.refs.Store(2)
		go x.sendStreamed()
		return x.receive()
	}
	switch err := x.send(); {
	case err == nil:
		x.sent.Store(true)
	case !c.writeFailed.Load():
		return nil, x.fail(ReasonBadRequest, err)
	case !c.wrote.Load():
		return nil, x.fail(ReasonUnreachable, err)
	default:
		// The upstream reads no more of the request but may have responded.
		x.mustClose.Store(true)
	}
	return x.receive()
}

// send writes the request.
func (x *exchange) send() error {
	err := x.out.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	return err
}

// sendStreamed sends a request whose body is written while the response is
// read. It closes the body once nothing more is written.
func (x *exchange) sendStreamed() {
	err := x.send()
	x.sent.Store(err == nil)
	// The response may still arrive after a failed write. After a failed read of
	// the body, the upstream must neither wait for the rest nor consider the body
	// complete.
	switch c := x.conn; {
	case err == nil || c.writeFailed.Load() && c.wrote.Load():
	case x.responded.Load():
		c.halfClose()
	default:
		x.pool.drop(c)
	}
	x.done(err == nil)
	_ = x.out.streamed.ReadCloser.Close()
}

// setUserTimeout sets TCP_USER_TIMEOUT if the connection is a socket. It is off
// while a body is streamed, since an upstream that reads a long body slowly
// would look like a dead one.
func (x *exchange) setUserTimeout(timeout time.Duration) {
	if x.conn.raw != nil {
		setUserTimeout(x.conn.raw, timeout)
	}
}

// receive reads responses until the one to this request.
func (x *exchange) receive() (*http.Response, *Failure) {
	informational, skipped := 0, 0
	remaining := maxSkippedBytes
	for {
		x.conn.readRemaining = maxHeaderBytes
		response, err := http.ReadResponse(x.conn.reader, x.out.Request)
		x.conn.readRemaining = -1
		switch {
		case err != nil:
			return nil, x.fail(ReasonBroken, err)
		case response.ProtoMajor != 1 || response.StatusCode < 100 || response.StatusCode > maxStatus || response.StatusCode == http.StatusSwitchingProtocols:
			return nil, x.fail(ReasonBroken, errProtocol)
		case response.StatusCode < 200:
			if informational++; informational > maxInformational {
				return nil, x.fail(ReasonBroken, errInformational)
			}
			continue
		}
		switch x.contract.classify(x.out.Header, response.Header, response.StatusCode, !x.conn.reused && skipped == 0) {
		case mismatched:
			if skipped++; skipped > maxSkipped {
				return nil, x.fail(ReasonBroken, errSkipped)
			}
			if err := x.skipResponse(response, &remaining); err != nil {
				return nil, x.fail(ReasonBroken, err)
			}
			continue
		case unidentified:
			return nil, x.fail(ReasonUnidentified, nil)
		case unsigned:
			return nil, x.fail(ReasonUnsigned, nil)
		case rejected:
			return nil, x.reject(response, ReasonRejected)
		case misdirected:
			return nil, x.reject(response, ReasonMisdirected)
		}
		x.responded.Store(true)
		response.Body = x.newResponseBody(response)
		return response, nil
	}
}

// reject ends a request that the upstream reported as not executed. A response
// without an ID closes the connection: if the upstream wrote it once more, it
// could not be told from the response to the next request.
func (x *exchange) reject(response *http.Response, reason string) *Failure {
	x.responded.Store(true)
	if x.contract.identifies(x.out.Header, response.Header) {
		if !x.conn.addRefused(x.contract.requestID(x.out.Header)) {
			x.mustClose.Store(true)
		}
		x.drain(x.newResponseBody(response))
	} else {
		x.abandon()
	}
	return &Failure{Execution: NotExecuted, Reason: reason}
}

// skipResponse reads the response to an earlier request, whose body may have the
// remaining number of bytes. Whether it has a body depends on the method of that
// request.
func (x *exchange) skipResponse(response *http.Response, remaining *int) error {
	x.mustClose.Store(true)
	switch {
	case x.conn.sentHEAD:
		return errUnknownLength
	case endsWithConnection(response):
		return errEndsWithConnection
	case response.ContentLength > int64(*remaining):
		return errTooLarge
	}
	x.conn.readRemaining = *remaining
	_, err := io.Copy(io.Discard, response.Body)
	*remaining = x.conn.readRemaining
	return err
}

// endsWithConnection reports whether the end of the connection is the end of the
// body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// newResponseBody returns the body of the response, and decides whether and for
// how long the connection can be kept. The connection is released at the end of
// the body.
func (x *exchange) newResponseBody(response *http.Response) io.ReadCloser {
	if response.Close || x.out.Close || !response.ProtoAtLeast(1, 1) || x.conn.raw == nil {
		x.mustClose.Store(true)
	}
	b := &responseBody{
		Reader: response.Body, exchange: x, idleTimeout: idleTimeout(response.Header),
		closeDelimited: endsWithConnection(response),
	}
	if response.Body == http.NoBody {
		b.end(true)
		return http.NoBody
	}
	return b
}

// drain reads a short body to its end and closes a longer one.
func (x *exchange) drain(body io.ReadCloser) {
	if body == http.NoBody {
		return
	}
	x.deadlineSet = true
	_ = x.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// fail closes the connection and returns the failure of the request.
func (x *exchange) fail(reason string, cause error) *Failure {
	x.abandon()
	switch nothingWritten := x.conn.nothingWritten(); {
	case !nothingWritten && reason == ReasonBadRequest:
		return &Failure{Execution: PossiblyExecuted, Reason: ReasonBroken, Cause: cause}
	case !nothingWritten:
		return &Failure{Execution: PossiblyExecuted, Reason: reason, Cause: cause}
	case reason != ReasonBadRequest:
		reason = ReasonUnreachable
	}
	// Nothing was written, and nothing will be, since the connection is closed.
	return &Failure{Execution: NotExecuted, Reason: reason, Cause: cause}
}

// abandon closes the connection and releases the reader's reference to it.
func (x *exchange) abandon() {
	x.pool.drop(x.conn)
	x.done(false)
}

// finish is called when the response is complete. If the request body has been
// read to its end but not yet written, the end of the request's context no
// longer closes the connection, and the rest is written within flushTimeout.
func (x *exchange) finish(timeout time.Duration) {
	now := time.Now()
	x.conn.expires = now.Add(timeout)
	if x.out.streamed != nil && x.out.streamed.eof.Load() && !x.sent.Load() {
		x.deadlineSet = true
		_ = x.conn.SetWriteDeadline(now.Add(flushTimeout))
		x.detached = x.stop()
	}
	x.done(true)
}

// done is called once by the reader and once by the sender of a streamed body.
// The last call returns the connection to the pool or closes it.
func (x *exchange) done(clean bool) {
	if !clean {
		x.mustClose.Store(true)
	}
	if x.refs.Add(-1) > 0 {
		return
	}
	attached := x.stop() || x.detached
	c := x.conn
	if !attached || x.mustClose.Load() || c.reader.Buffered() > 0 {
		x.pool.drop(c)
		return
	}
	if x.deadlineSet {
		_ = c.SetDeadline(time.Time{})
	}
	if x.out.streamed != nil {
		x.setUserTimeout(userTimeout)
	}
	x.pool.put(time.Now(), c)
}

// responseBody is the body of a response. Its end releases the connection.
type responseBody struct {
	io.Reader
	exchange    *exchange
	idleTimeout time.Duration
	// closeDelimited is set if the body ends with the connection.
	closeDelimited bool
	ended          atomic.Bool
	err            error
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.closeDelimited && !b.exchange.endedCleanly() {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	b.end(err == io.EOF)
	return n, err
}

// endedCleanly reports whether a body that ended with the connection is
// complete. A read returns an error after a reset, unless a concurrent write
// got that error first.
func (x *exchange) endedCleanly() bool {
	return x.sent.Load() || x.conn.raw != nil && receivedFIN(x.conn.raw)
}

// Close implements io.Closer. It closes the connection if the body was not read
// to its end.
func (b *responseBody) Close() error {
	b.end(false)
	return nil
}

func (b *responseBody) end(complete bool) {
	if b.ended.Swap(true) {
		return
	}
	if complete {
		b.exchange.finish(b.idleTimeout)
	} else {
		b.exchange.abandon()
	}
}
