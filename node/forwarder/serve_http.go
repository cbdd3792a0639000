package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/governor"
)

// finalWriteTimeout bounds the write of a buffered response after its call has
// ended.
const finalWriteTimeout = 100 * time.Millisecond

// ServeHTTP handles a caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.Now()
	c, failed := f.parseRequest(now, r)
	if failed != nil {
		f.writeFailure(w, c, failed)
		return
	}
	ctx, watchdog, stop := withWatchdog(r.Context(), c.deadline, c.match.Idle)
	defer stop(errDone)
	if !f.drain.begin(watchdog, func() callEnd { return f.expectedEnd(now, c) }) {
		c.refusedByDrain = true
		f.writeFailure(w, c, notRun(reasonDraining))
		return
	}
	defer f.drain.end(watchdog)
	control := http.NewResponseController(w)
	if failed := f.prepareBody(ctx, watchdog, control, c, r); failed != nil {
		f.writeFailure(w, c, failed)
		return
	}
	if c.upload != nil {
		defer func() { c.upload.finish(control, f.Now()) }()
	}
	if c.key != "" {
		c.fingerprint = c.computeFingerprint()
	}
	if c.parentAttempt == 1 {
		// A retry from further up the call chain must not add to the retry
		// budget. Otherwise the retries at each level would raise the budgets of
		// all levels below it.
		f.CountCall(now, c.match.Service)
	}
	out, failed := f.sendWithRetries(ctx, watchdog, c)
	if failed != nil {
		if c.upload != nil && c.upload.tooLarge.Load() {
			// The body was cut at its limit, which takes precedence over the
			// error of the attempt.
			failed.reason = reasonBodyTooLarge
		}
		f.writeFailure(w, c, failed)
		return
	}
	f.writeResponse(ctx, watchdog, w, control, c, out)
}

// prepareBody reads a small body into memory, or sets up the upload of a large
// one.
func (f *Forwarder) prepareBody(ctx context.Context, watchdog *watchdog, control *http.ResponseController, c *call, r *http.Request) *failure {
	if c.length == 0 || r.Body == nil || r.Body == http.NoBody {
		c.buffered, c.bodyUnread, c.length = true, false, 0
		return nil
	}
	// Unblocks a read from a caller that stopped sending.
	release := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if c.length > maxBufferedBodyBytes || c.length < 0 || len(c.trailers) > 0 {
		_ = control.EnableFullDuplex()
		bodyTimer := f.newBodyTimer(watchdog)
		bodyTimer.Stop() // runs only during reads
		c.upload = &upload{
			body: r.Body, remaining: int64(c.limits.Body), watchdog: watchdog, stopUnblock: release, idleTimeout: f.BodyTimeout, idleTimer: bodyTimer,
			onEnd: func() { c.setTrailers(r.Trailer) },
		}
		return nil
	}
	defer release()
	c.body = make([]byte, c.length)
	bodyTimer := f.newBodyTimer(watchdog)
	defer bodyTimer.Stop()
	for read := 0; read < len(c.body); {
		n, err := r.Body.Read(c.body[read:])
		read += n
		if n > 0 {
			watchdog.recordProgress()
			bodyTimer.Reset(f.BodyTimeout)
		}
		if err != nil && read < len(c.body) {
			switch {
			case errors.Is(err, governor.ErrEvicted):
				return notRun(reasonEvicted)
			case ctx.Err() != nil:
				return notRun(reasonBodySlow)
			}
			return notRun(reasonBodyIncomplete)
		}
	}
	// After the read that returns io.EOF, the server watches the connection and
	// so notices when the caller disconnects.
	if n, err := io.ReadFull(r.Body, make([]byte, 1)); n != 0 || err != io.EOF {
		return notRun(reasonBodyIncomplete)
	}
	c.buffered, c.bodyUnread = true, false
	return nil
}

// newBodyTimer returns a timer that ends the call if the caller sends nothing of
// its body for BodyTimeout. The idle timeout of a service applies to upstreams
// and can be far longer.
func (f *Forwarder) newBodyTimer(watchdog *watchdog) *time.Timer {
	return time.AfterFunc(f.BodyTimeout, func() { watchdog.cancelCall(errIdle) })
}

// writeFailure sends the caller a response that says why the call failed.
func (f *Forwarder) writeFailure(w http.ResponseWriter, c *call, failed *failure) {
	f.recordCall(c, failed.result, failed.reason)
	header := w.Header()
	f.setOutcomeHeaders(header, c, failed.result, failed.reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	switch failed.status() {
	case http.StatusServiceUnavailable:
		header.Set("Retry-After", failed.retryAfterHeader(rand.Float64()))
		f.refusals.add(f.Now(), c)
	case http.StatusTooManyRequests:
		// The call is not added to the refused ones, whose retries count from
		// their first arrival: time spent beyond a quota gives no precedence.
		header.Set("Retry-After", failed.retryAfterHeader(rand.Float64()))
	case http.StatusUnauthorized:
		header.Set("WWW-Authenticate", f.Contract.Scheme)
	}
	f.setConnectionHeaders(header, c)
	control := http.NewResponseController(w)
	if c.bodyUnread && c.upload == nil {
		// The server reads a part of the remaining body after the handler has
		// returned.
		_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	text := string(failed.result) + ": " + failed.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(failed.status())
	_, _ = io.WriteString(w, text)
	// Flushed because the handler may go on to read the rest of the caller's
	// body.
	_ = control.Flush()
}

// Decline rejects a request with status 503 and reason, without examining it.
func (f *Forwarder) Decline(w http.ResponseWriter, r *http.Request, reason string) {
	f.writeFailure(w, f.newCall(f.Now(), r), notRun(reason))
}

// writeResponse sends the response to the caller. It aborts the caller's
// connection if the response is incomplete, so that the caller can't take a part
// for the whole response. A connection is never aborted before a part of the
// response was sent, since some callers then send the request again.
func (f *Forwarder) writeResponse(ctx context.Context, watchdog *watchdog, w http.ResponseWriter, control *http.ResponseController, c *call, out *attemptResponse) {
	defer out.body.Close()
	var data []byte
	var err error
	inMemory := isInMemory(out.body)
	if !inMemory {
		out.body = f.pace(ctx, c, out.body)
	}
	if out.length >= 0 {
		// The head is sent after the first bytes of a body of known length,
		// since a failure can be reported only before the head.
		data, err = out.body.Next()
	}
	if err == nil && !inMemory {
		err = context.Cause(ctx)
	}
	if err != nil && err != io.EOF {
		f.writeFailure(w, c, unknown(endReason(ctx, reasonResponseIncomplete)))
		return
	}
	f.writeHead(w, c, out)
	// Unblocks a write to a caller that stopped reading.
	defer limitWrites(ctx, control)()
	for first := true; err != io.EOF; data, err = out.body.Next() {
		if err == nil && !inMemory && !first {
			err = context.Cause(ctx)
		}
		if err == nil && len(data) > 0 {
			if inMemory {
				f.Pacer.Charge(f.Now(), len(data))
			}
			_, err = w.Write(data)
		}
		// The server buffers the head and the first bytes of a response until
		// they are flushed.
		if err == nil && (out.length < 0 || first && !inMemory) {
			err = control.Flush()
		}
		first = false
		if err != nil {
			reason := endReason(ctx, reasonResponseIncomplete)
			f.recordCall(c, sycamorerun.Unknown, reason)
			_ = level.Warn(f.Logger).Log("msg", "response to the caller aborted before its end", "request", c.id, "caller", c.header.Get(f.Contract.Identity),
				"service", c.match.Service, "reason", reason, "err", err)
			panic(http.ErrAbortHandler)
		}
		watchdog.recordProgress()
	}
	for name, values := range f.endToEndHeader(out.body.Trailer()) {
		w.Header()[name] = values
	}
	f.recordCall(c, sycamorerun.Answered, "")
	if out.isUploading() {
		_ = control.Flush()
		f.awaitUpload(ctx, c, out)
	}
}

// limitWrites ends the writes to a caller when ctx ends. The returned function
// removes the write deadline, which would otherwise fail the next response on
// the connection.
func limitWrites(ctx context.Context, control *http.ResponseController) func() {
	limited := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		_ = control.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		close(limited)
	})
	return func() {
		if !release() {
			<-limited
			_ = control.SetWriteDeadline(time.Time{})
		}
	}
}

// writeHead sends the head of the response to the caller.
func (f *Forwarder) writeHead(w http.ResponseWriter, c *call, out *attemptResponse) {
	header := w.Header()
	for name, values := range out.header {
		header[name] = values
	}
	if len(out.trailers) > 0 {
		header.Set("Trailer", strings.Join(out.trailers, ", "))
	}
	f.setOutcomeHeaders(header, c, sycamorerun.Answered, out.reason)
	f.setConnectionHeaders(header, c)
	w.WriteHeader(out.status)
}

// setOutcomeHeaders sets the headers that tell the caller how its call ended.
func (f *Forwarder) setOutcomeHeaders(header http.Header, c *call, result sycamorerun.Result, reason string) {
	setHeader(header, f.Contract.Outcome, string(result))
	if reason != "" {
		setHeader(header, f.Contract.Reason, reason)
	}
	setHeader(header, f.Contract.Request, c.id)
}

// setConnectionHeaders tells the caller whether its connection stays open, and
// for how long while idle. The connection is closed if the body was not read or
// the node is shutting down.
func (f *Forwarder) setConnectionHeaders(header http.Header, c *call) {
	unread := c.bodyUnread && (c.upload == nil || !c.upload.complete.Load())
	switch {
	case unread || c.refusedByDrain || f.drain.isLingering():
		header.Set("Connection", "close")
	case c.persistent && c.limits.keepAlive != nil:
		header["Keep-Alive"] = c.limits.keepAlive
	}
}
