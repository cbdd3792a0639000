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

// answer is the response to an attempt. Its body must be closed.
type answer struct {
	status   int
	header   http.Header
	trailers []string
	length   int64
	body     source
	reason   string
	// at is when the head of the response arrived.
	at   time.Time
	load *Load
}

// execute sends a call to the upstream beside this node. admitted is called
// once the call holds a slot and may start.
func (f *Forwarder) execute(ctx context.Context, watch *watch, c *call, id string, body io.ReadCloser, level uint32, admitted func() error) (*answer, *failure) {
	ctx = WithService(ctx, c.match.Service)
	release, rejection := f.Acquire(ctx, f.Now(), c.want())
	if rejection.Reason == reasonCanceled {
		// The limiter does not know why the call ended in the queue.
		rejection.Reason = ended(ctx, rejection.Reason)
	}
	if rejection.Reason != "" {
		return nil, &failure{result: sycamorerun.NotRun, reason: rejection.Reason, after: rejection.After}
	}
	watch.progress()
	claim := c.claim(id)
	if out, failed := f.begin(claim); out != nil || failed != nil {
		release()
		return out, failed
	}
	var once sync.Once
	finish := func(ending Ending) {
		once.Do(func() {
			f.Finish(f.Now(), claim, ending)
			release()
		})
	}
	out, failed := f.start(ctx, watch, c, body, level, admitted, finish)
	if failed != nil {
		// An upstream has rejected a call with this reason.
		failed.sent = failed.sent || failed.reason == reasonRejected || failed.reason == reasonMisdirected
		finish(Ending{Result: failed.result})
	}
	return out, failed
}

// begin claims the execution. It returns neither a response nor a failure when
// the call may start.
func (f *Forwarder) begin(claim Claim) (*answer, *failure) {
	switch decision := f.Begin(f.Now(), claim); decision.Verdict {
	case sycamorerun.VerdictRun:
		return nil, nil
	case sycamorerun.VerdictRefused:
		return nil, notRun(decision.Reason)
	case sycamorerun.VerdictMismatch:
		return nil, notRun(reasonKey)
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

// start sends the request and reads the head of the response, and the body too
// if it is small.
func (f *Forwarder) start(ctx context.Context, watch *watch, c *call, body io.ReadCloser, level uint32, admitted func() error, finish func(Ending)) (*answer, *failure) {
	if ctx.Err() != nil {
		return nil, notRun(ended(ctx, ""))
	}
	if err := admitted(); err != nil {
		return nil, notRun(reasonLost)
	}
	request, err := f.request(f.Now(), c, level, body)
	if err != nil {
		return nil, notRun(reasonRequest)
	}
	response, err := f.Upstream.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, classify(ctx, c, err)
	}
	watch.progress()
	out, failed := f.receive(ctx, watch, c, response, finish)
	if out != nil {
		out.at = f.Now()
	}
	return out, failed
}

// classify says what the failure of a round trip means for the request.
func classify(ctx context.Context, c *call, err error) *failure {
	if errors.Is(err, ErrDraining) {
		return notRun(reasonDraining)
	}
	if c.stream != nil && c.stream.large.Load() {
		return unknown(reasonBody)
	}
	var failed *requester.Failure
	if !errors.As(err, &failed) {
		return unknown(ended(ctx, reasonBroken))
	}
	reason := ended(ctx, failed.Reason)
	if failed.Execution == requester.NotExecuted {
		return notRun(reason)
	}
	return unknown(reason)
}

// receive describes the response of the upstream.
func (f *Forwarder) receive(ctx context.Context, watch *watch, c *call, response *http.Response, finish func(Ending)) (*answer, *failure) {
	out := &answer{
		status: response.StatusCode, header: f.clean(response.Header),
		trailers: announced(response.Trailer), length: response.ContentLength, load: f.Load(c.match),
	}
	bodyless := c.method == http.MethodHead || out.status == http.StatusNoContent || out.status == http.StatusNotModified
	switch {
	case bodyless:
		_ = response.Body.Close()
		out.length, out.trailers = 0, nil
		return f.settle(out, nil, finish), nil
	case out.length >= 0 && out.length <= wholeBytes:
		data := make([]byte, out.length)
		_, err := io.ReadFull(response.Body, data)
		_ = response.Body.Close()
		if err != nil {
			return nil, unknown(ended(ctx, reasonTruncated))
		}
		return f.settle(out, data, finish), nil
	default:
		out.body = &download{response: response, clean: f.clean, watch: watch, finish: finish}
		return out, nil
	}
}

// settle ends a call whose whole response is in memory.
func (f *Forwarder) settle(out *answer, data []byte, finish func(Ending)) *answer {
	body := whole(data)
	out.body = &body
	ending := Ending{Result: sycamorerun.Answered}
	if encoded, err := proto.Marshal(toResponse(out, data, true)); err == nil {
		ending.Response = encoded
	}
	finish(ending)
	return out
}

// download is the body of a large response from the upstream.
type download struct {
	response *http.Response
	clean    func(http.Header) http.Header
	watch    *watch
	finish   func(Ending)
	buffer   []byte
}

// Next implements source.
func (d *download) Next() ([]byte, error) {
	if d.buffer == nil {
		d.buffer = make([]byte, chunkBytes)
	}
	for {
		n, err := d.response.Body.Read(d.buffer)
		if n > 0 {
			d.watch.progress()
			return d.buffer[:n], nil
		}
		if err == io.EOF {
			d.finish(Ending{Result: sycamorerun.Answered})
			return nil, io.EOF
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
	}
}

// Trailer implements source.
func (d *download) Trailer() http.Header { return d.clean(d.response.Trailer) }

// Close implements source.
func (d *download) Close() {
	_ = d.response.Body.Close()
	d.finish(Ending{Result: sycamorerun.Unknown})
}

func toResponse(out *answer, data []byte, complete bool) *Response {
	return &Response{
		Status: uint32(out.status), Fields: toFields(out.header), Trailers: out.trailers,
		Length: out.length, Body: data, Whole: complete, Load: out.load, Reason: out.reason,
	}
}

func fromResponse(response *Response) *answer {
	body := whole(response.GetBody())
	return &answer{
		status: int(response.GetStatus()), header: fromFields(response.GetFields()),
		trailers: response.GetTrailers(), length: response.GetLength(), body: &body,
		reason: response.GetReason(), load: response.GetLoad(),
	}
}
