package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/node/requester"
)

// attemptResponse is the response to an attempt. Its body must be closed.
type attemptResponse struct {
	status   int
	header   http.Header
	trailers []string
	length   int64
	body     bodySource
	reason   string
	// headAt is when the head of the response arrived.
	headAt time.Time
	load   *Load
	// uploaded is closed when no more of a streamed request body is sent; nil means
	// that none is streamed.
	uploaded <-chan struct{}
	// received is the request body if it goes to the upstream beside this node.
	received *receivedBody
}

// execute sends a call to the upstream beside this node. It calls onAdmitted
// once the call holds a slot and may start.
func (f *Forwarder) execute(ctx context.Context, watchdog *watchdog, c *call, id sycamorerun.CallID, body io.ReadCloser, attemptNumber uint32, onAdmitted func() error) (*attemptResponse, *failure) {
	ctx = WithService(ctx, c.match.Service)
	request := c.slotRequest()
	var received *receivedBody
	if !c.buffered {
		received = newReceivedBody(body, c.length)
		body, request.BodyReceived = received, received.done
	}
	release, rejection := f.Acquire(ctx, f.Now(), request)
	if rejection.Reason == reasonCanceled {
		// The limiter does not know why the context of a queued call ended.
		rejection.Reason = endReason(ctx, rejection.Reason)
	}
	if rejection.Reason != "" {
		return nil, &failure{result: sycamorerun.NotRun, reason: rejection.Reason, retryAfter: rejection.After}
	}
	watchdog.recordProgress()
	claim := c.claim(id)
	if out, failed := f.claimExecution(claim); out != nil || failed != nil {
		release()
		return out, failed
	}
	var once sync.Once
	finish := func(completion Completion) {
		once.Do(func() {
			f.Finish(f.Now(), claim, completion)
			release()
		})
	}
	launch := func() bool { return ctx.Err() == nil && onAdmitted() == nil && f.Launch(id) }
	out, failed := f.roundTrip(ctx, watchdog, c, body, attemptNumber, launch, finish)
	if failed != nil {
		finish(Completion{Result: failed.result, Sent: failed.sent})
	} else if received != nil {
		out.received, out.uploaded = received, received.closed
	}
	return out, failed
}

// claimExecution claims the execution of a call. It returns neither a response
// nor a failure if the call may start.
func (f *Forwarder) claimExecution(claim Claim) (*attemptResponse, *failure) {
	switch decision := f.Begin(f.Now(), claim); decision.Verdict {
	case sycamorerun.VerdictRun:
		return nil, nil
	case sycamorerun.VerdictRefused:
		return nil, notRun(decision.Reason)
	case sycamorerun.VerdictMismatch:
		return nil, notRun(reasonKeyMismatch)
	case sycamorerun.VerdictRecorded:
		response := &Response{}
		if err := proto.Unmarshal(decision.Response, response); err != nil {
			return nil, unknown(decision.Reason)
		}
		out := fromResponse(response)
		out.reason = decision.Reason
		return out, nil
	default:
		return nil, unknown(decision.Reason)
	}
}

// roundTrip sends the request, if launch permits it, and reads the head of the
// response, and also the body if it is small.
func (f *Forwarder) roundTrip(ctx context.Context, watchdog *watchdog, c *call, body io.ReadCloser, attemptNumber uint32, launch func() bool, finish func(Completion)) (*attemptResponse, *failure) {
	if !launch() {
		return nil, notRun(endReason(ctx, reasonPeerLost))
	}
	started := f.Now()
	request, err := f.newUpstreamRequest(started, c, attemptNumber, body)
	if err != nil {
		return nil, notRun(reasonBadRequest)
	}
	response, err := f.Upstream.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			now := f.Now()
			f.recordSilence(now, c.match, now.Sub(started))
		}
		return nil, classifyError(ctx, c, err)
	}
	f.upstreamTimes.estimator.Record(c.match.kind(), f.Now().Sub(started))
	watchdog.recordProgress()
	out, failed := f.readResponse(ctx, watchdog, c, response, finish)
	if out != nil {
		out.headAt = f.Now()
	}
	return out, failed
}

// classifyError maps the error of a round trip to the failure of the attempt.
func classifyError(ctx context.Context, c *call, err error) *failure {
	if errors.Is(err, ErrDraining) {
		return notRun(reasonDraining)
	}
	if c.upload != nil && c.upload.tooLarge.Load() {
		return unknown(reasonBodyTooLarge)
	}
	var failed *requester.Failure
	if !errors.As(err, &failed) {
		return unknown(endReason(ctx, reasonUpstreamBroken))
	}
	reason := endReason(ctx, failed.Reason)
	if failed.Execution == requester.NotExecuted {
		return &failure{result: sycamorerun.NotRun, reason: reason, sent: failed.Received()}
	}
	return unknown(reason)
}

// readResponse reads the response of the upstream. A body of up to
// maxBufferedBodyBytes is read at once, a larger one is streamed.
func (f *Forwarder) readResponse(ctx context.Context, watchdog *watchdog, c *call, response *http.Response, finish func(Completion)) (*attemptResponse, *failure) {
	f.recordSlowdown(f.Now(), response.Header.Get(f.Contract.Load))
	out := &attemptResponse{
		status: response.StatusCode, header: f.endToEndHeader(response.Header),
		trailers: trailerNames(response.Trailer), length: response.ContentLength, load: f.Load(c.match),
	}
	bodyless := c.method == http.MethodHead || out.status == http.StatusNoContent || out.status == http.StatusNotModified
	switch {
	case bodyless:
		_ = response.Body.Close()
		out.length, out.trailers = 0, nil
		return f.finishBuffered(out, nil, finish), nil
	case out.length >= 0 && out.length <= maxBufferedBodyBytes:
		data := make([]byte, out.length)
		_, err := io.ReadFull(response.Body, data)
		_ = response.Body.Close()
		if err != nil {
			return nil, unknown(endReason(ctx, reasonResponseIncomplete))
		}
		f.Pacer.Record(c.match.sizeKind(), out.length)
		return f.finishBuffered(out, data, finish), nil
	default:
		out.body = &upstreamBody{
			response: response, filterHeader: f.endToEndHeader, watchdog: watchdog, finish: finish,
			recordSize: func(bytes int64) { f.Pacer.Record(c.match.sizeKind(), bytes) },
		}
		return out, nil
	}
}

// finishBuffered finishes a call whose whole response is in memory.
func (f *Forwarder) finishBuffered(out *attemptResponse, data []byte, finish func(Completion)) *attemptResponse {
	body := bufferedBody(data)
	out.body = &body
	completion := Completion{Result: sycamorerun.Answered, Sent: true}
	if encoded, err := proto.Marshal(toResponse(out, data, true)); err == nil {
		completion.Response = encoded
	}
	finish(completion)
	return out
}

// upstreamBody is the body of a large response from the upstream.
type upstreamBody struct {
	response     *http.Response
	filterHeader func(http.Header) http.Header
	watchdog     *watchdog
	finish       func(Completion)
	recordSize   func(bytes int64)
	buffer       []byte
	bytes        int64
}

// Next implements bodySource.
func (b *upstreamBody) Next() ([]byte, error) {
	if b.buffer == nil {
		b.buffer = make([]byte, chunkBytes)
	}
	for {
		n, err := b.response.Body.Read(b.buffer)
		if n > 0 {
			b.watchdog.recordProgress()
			b.bytes += int64(n)
			return b.buffer[:n], nil
		}
		if err == io.EOF {
			b.recordSize(b.bytes)
			b.finish(Completion{Result: sycamorerun.Answered, Sent: true})
			return nil, io.EOF
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response body from the upstream")
		}
	}
}

// Trailer implements bodySource.
func (b *upstreamBody) Trailer() http.Header { return b.filterHeader(b.response.Trailer) }

// Close implements bodySource.
func (b *upstreamBody) Close() {
	_ = b.response.Body.Close()
	b.finish(Completion{Result: sycamorerun.Unknown, Sent: true})
}

func toResponse(out *attemptResponse, data []byte, complete bool) *Response {
	return &Response{
		Status: uint32(out.status), Fields: toFields(out.header), Trailers: out.trailers,
		Length: out.length, Body: data, Whole: complete, Load: out.load, Reason: out.reason,
	}
}

func fromResponse(response *Response) *attemptResponse {
	body := bufferedBody(response.GetBody())
	return &attemptResponse{
		status: int(response.GetStatus()), header: fromFields(response.GetFields()),
		trailers: response.GetTrailers(), length: response.GetLength(), body: &body,
		reason: response.GetReason(), load: response.GetLoad(),
	}
}
