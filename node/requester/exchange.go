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
	// informationalMost bounds the responses with a status 1xx.
	informationalMost = 16
	// flushWait bounds the time for the last bytes of a request whose response
	// is complete.
	flushWait = 5 * time.Second
	// spareBytes and spareWait bound the body of a response that nobody wants. It
	// is read so that the connection can be kept.
	spareBytes = 16 << 10
	spareWait  = 50 * time.Millisecond
)

// Causes of failures.
var (
	errInformational = errors.New("too many responses with a status 1xx")
	errProtocol      = errors.New("no HTTP/1 response")
	errSurplus       = errors.New("response to another request whose end can't be known")
)

// exchange is a request and its response on a connection.
type exchange struct {
	pool     *pool
	contract *Contract
	conn     *conn
	out      *outgoing
	// stop ends the effect of the request's context on the connection; detached
	// says that it did so before the end.
	stop     func() bool
	detached bool
	// timed says that a deadline of the connection is set.
	timed bool
	// parts counts the sender and the reader that still use the connection.
	parts atomic.Int32
	// spoiled says that the connection can't be kept.
	spoiled atomic.Bool
	// responded says that the head of the response was read, sent that the whole
	// request was written.
	responded, sent atomic.Bool
}

// run sends the request and reads the head of the response.
func (x *exchange) run(ctx context.Context) (*http.Response, *Failure) {
	c := x.conn
	c.wrote.Store(false)
	c.heads = c.heads || x.out.Method == http.MethodHead
	x.parts.Store(1)
	x.stop = context.AfterFunc(ctx, func() { x.pool.drop(c) })
	if x.out.source != nil {
		x.patience(0)
		x.parts.Store(2)
		go x.stream()
		return x.receive()
	}
	switch err := x.send(); {
	case err == nil:
		x.sent.Store(true)
	case !c.failed.Load():
		return nil, x.fail(ReasonRequest, err)
	case !c.wrote.Load():
		return nil, x.fail(ReasonUnreachable, err)
	default:
		// The upstream takes no more, but its response may be there.
		x.spoiled.Store(true)
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

// stream sends a request whose body is written while the response is read.
func (x *exchange) stream() {
	err := x.send()
	x.sent.Store(err == nil)
	// When a write has failed, the response may be there all the same. When the
	// body broke off, the upstream must neither wait for the rest nor take it for
	// complete.
	switch c := x.conn; {
	case err == nil || c.failed.Load() && c.wrote.Load():
	case x.responded.Load():
		c.halfClose()
	default:
		x.pool.drop(c)
	}
	x.done(err == nil)
}

// patience sets how long the upstream's system may confirm nothing. An upstream
// that does not read a long body looks like that.
func (x *exchange) patience(limit time.Duration) {
	if x.conn.raw != nil {
		confirm(x.conn.raw, limit)
	}
}

// receive reads heads until the one of the request's own response.
func (x *exchange) receive() (*http.Response, *Failure) {
	for informational := 0; ; {
		x.conn.head = headBytes
		response, err := http.ReadResponse(x.conn.reader, x.out.Request)
		x.conn.head = -1
		switch {
		case err != nil:
			return nil, x.fail(ReasonBroken, err)
		case response.ProtoMajor != 1 || response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols:
			return nil, x.fail(ReasonBroken, errProtocol)
		case response.StatusCode < 200:
			if informational++; informational > informationalMost {
				return nil, x.fail(ReasonBroken, errInformational)
			}
			continue
		}
		switch x.contract.judge(x.out.Header, response.Header, response.StatusCode) {
		case foreign:
			if err := x.skip(response); err != nil {
				return nil, x.fail(ReasonBroken, err)
			}
			continue
		case unidentified:
			return nil, x.fail(ReasonUnidentified, nil)
		case unsigned:
			return nil, x.fail(ReasonUnsigned, nil)
		case refused:
			return nil, x.reject(response, ReasonRejected)
		case misdirected:
			return nil, x.reject(response, ReasonMisdirected)
		}
		x.responded.Store(true)
		response.Body = x.body(response)
		return response, nil
	}
}

// reject ends a request that the upstream says it did not run.
func (x *exchange) reject(response *http.Response, reason string) *Failure {
	x.responded.Store(true)
	x.discard(x.body(response))
	return &Failure{Execution: NotExecuted, Reason: reason}
}

// skip reads the response to an earlier request. Whether it has a body depends
// on the method of that request.
func (x *exchange) skip(response *http.Response) error {
	x.spoiled.Store(true)
	if x.conn.heads {
		return errSurplus
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// body prepares the connection for its next request and returns the body, at
// whose end it is free.
func (x *exchange) body(response *http.Response) io.ReadCloser {
	if response.Close || x.out.Close || !response.ProtoAtLeast(1, 1) || x.conn.raw == nil {
		x.spoiled.Store(true)
	}
	b := &body{
		Reader: response.Body, exchange: x, limit: idle(response.Header),
		unframed: response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked"),
	}
	if response.Body == http.NoBody {
		b.end(true)
		return http.NoBody
	}
	return b
}

// discard reads a short body and closes a longer one.
func (x *exchange) discard(body io.ReadCloser) {
	if body == http.NoBody {
		return
	}
	x.timed = true
	_ = x.conn.SetReadDeadline(time.Now().Add(spareWait))
	_, _ = io.CopyN(io.Discard, body, spareBytes)
	_ = body.Close()
}

// fail closes the connection and says what that means for the request.
func (x *exchange) fail(reason string, cause error) *Failure {
	x.abandon()
	switch untouched := x.conn.untouched(); {
	case !untouched && reason == ReasonRequest:
		return &Failure{Execution: Unknown, Reason: ReasonBroken, Cause: cause}
	case !untouched:
		return &Failure{Execution: Unknown, Reason: reason, Cause: cause}
	case reason != ReasonRequest:
		reason = ReasonUnreachable
	}
	// Nothing was written, and nothing will be since the connection is closed.
	return &Failure{Execution: NotExecuted, Reason: reason, Cause: cause}
}

// abandon closes the connection as the reader.
func (x *exchange) abandon() {
	x.pool.drop(x.conn)
	x.done(false)
}

// finish is called when the response is complete. The last bytes of a request
// whose body has ended are still written after its context has ended.
func (x *exchange) finish(limit time.Duration) {
	now := time.Now()
	x.conn.expires = now.Add(limit)
	if x.out.source != nil && x.out.source.ended.Load() && !x.sent.Load() {
		x.timed = true
		_ = x.conn.SetWriteDeadline(now.Add(flushWait))
		x.detached = x.stop()
	}
	x.done(true)
}

// done is called once by the reader and by the sender, if there is one. The last
// one keeps the connection or closes it.
func (x *exchange) done(clean bool) {
	if !clean {
		x.spoiled.Store(true)
	}
	if x.parts.Add(-1) > 0 {
		return
	}
	attached := x.stop() || x.detached
	c := x.conn
	if !attached || x.spoiled.Load() || c.reader.Buffered() > 0 {
		x.pool.drop(c)
		return
	}
	if x.timed {
		_ = c.SetDeadline(time.Time{})
	}
	if x.out.source != nil {
		x.patience(userTimeout)
	}
	x.pool.give(time.Now(), c)
}

// body is the body of a response. Its end frees the connection.
type body struct {
	io.Reader
	exchange *exchange
	limit    time.Duration
	// unframed says that the body ends with the connection.
	unframed bool
	ended    atomic.Bool
	err      error
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.unframed && !b.exchange.whole() {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	b.end(err == io.EOF)
	return n, err
}

// whole reports whether a body that ended with the connection is complete. A
// reset is an error of the read, unless a write got that error first.
func (x *exchange) whole() bool {
	return x.sent.Load() || x.conn.raw != nil && finished(x.conn.raw)
}

// Close implements io.Closer. A response that was not read to its end closes
// the connection.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(complete bool) {
	if b.ended.Swap(true) {
		return
	}
	if complete {
		b.exchange.finish(b.limit)
	} else {
		b.exchange.abandon()
	}
}
