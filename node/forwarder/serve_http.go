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

	"sycamorerun"
)

// writeWait is the time for which a write of a response that is in memory may go
// on after its call has ended.
const finalWriteTimeout = 100 * time.Millisecond

// ServeHTTP handles a caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.Now()
	c, failed := f.parseRequest(now, r)
	if failed == nil && !f.drain.begin() {
		failed = notRun(reasonDraining)
	} else if failed == nil {
		defer f.drain.end()
	}
	if failed != nil {
		f.writeFailure(w, c, failed)
		return
	}
	ctx, watchdog, stop := withWatchdog(r.Context(), c.deadline, c.match.Idle)
	defer stop(errDone)
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
	if c.callerAttempt == 1 {
		// A call that stems from a retry earns none. Otherwise the retries of each
		// level of a chain would raise the budgets of all levels below it.
		f.CountCall(now, c.match.Service)
	}
	out, failed := f.sendWithRetries(ctx, watchdog, c)
	if failed != nil {
		if c.upload != nil && c.upload.tooLarge.Load() {
			// Whatever the attempt failed of, the body was cut at its limit.
			failed.reason = reasonBodyTooLarge
		}
		f.writeFailure(w, c, failed)
		return
	}
	f.writeResponse(ctx, watchdog, w, control, c, out)
}

// take reads a small body, or prepares the stream of a large one.
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
		bodyTimer.Stop() // runs during reads
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
			if ctx.Err() != nil {
				return notRun(reasonBodySlow)
			}
			return notRun(reasonBodyIncomplete)
		}
	}
	// The read that returns io.EOF lets the server watch the connection, which
	// is how it notices that the caller has gone.
	if n, err := io.ReadFull(r.Body, make([]byte, 1)); n != 0 || err != io.EOF {
		return notRun(reasonBodyIncomplete)
	}
	c.buffered, c.bodyUnread = true, false
	return nil
}

// patience returns a timer that ends a call whose caller has sent nothing of its
// body for BodyWait. The idle limit of a service can be far longer, since it is
// for upstreams.
func (f *Forwarder) newBodyTimer(watchdog *watchdog) *time.Timer {
	return time.AfterFunc(f.BodyTimeout, func() { watchdog.cancelCall(errIdle) })
}

// fail tells the caller that there is no response, and why.
func (f *Forwarder) writeFailure(w http.ResponseWriter, c *call, failed *failure) {
	f.recordCall(c, failed.result, failed.reason)
	header := w.Header()
	f.setOutcomeHeaders(header, c, failed.result, failed.reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if failed.status() == http.StatusServiceUnavailable {
		header.Set("Retry-After", failed.retryAfterHeader(rand.Float64()))
		f.refusals.add(f.Now(), c)
	}
	f.setConnectionHeaders(header, c)
	control := http.NewResponseController(w)
	if c.bodyUnread && c.upload == nil {
		// The server reads some of the rest when the handler has returned.
		_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	text := string(failed.result) + ": " + failed.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(failed.status())
	_, _ = io.WriteString(w, text)
	// The handler may still read the rest of the caller's body.
	_ = control.Flush()
}

// Decline answers a request that is not looked at, with status 503.
func (f *Forwarder) Decline(w http.ResponseWriter, r *http.Request, reason string) {
	f.writeFailure(w, f.newCall(f.Now(), r), notRun(reason))
}

// reply passes the response on. It aborts the caller's connection when the
// response breaks off, so that a part is never taken for the whole.
func (f *Forwarder) writeResponse(ctx context.Context, watchdog *watchdog, w http.ResponseWriter, control *http.ResponseController, c *call, out *attemptResponse) {
	defer out.body.Close()
	var data []byte
	var err error
	if out.length >= 0 {
		// The head waits for the first bytes of a response that has them, since
		// before the head a failure can still be explained.
		if data, err = out.body.Next(); err != nil && err != io.EOF {
			f.writeFailure(w, c, unknown(endReason(ctx, reasonResponseIncomplete)))
			return
		}
	}
	f.writeHead(w, c, out)
	// Unblocks a write to a caller that stopped reading.
	defer limitWrites(ctx, control)()
	_, inMemory := out.body.(*bufferedBody)
	for ; err != io.EOF; data, err = out.body.Next() {
		if err == nil && !inMemory {
			err = context.Cause(ctx)
		}
		if err == nil && len(data) > 0 {
			_, err = w.Write(data)
		}
		if err == nil && out.length < 0 {
			err = control.Flush()
		}
		if err != nil {
			reason := endReason(ctx, reasonResponseIncomplete)
			f.recordCall(c, sycamorerun.Unknown, reason)
			_ = level.Warn(f.Logger).Log("msg", "response broken off", "request", c.id, "caller", c.header.Get(f.Contract.Identity),
				"service", c.match.Service, "reason", reason, "err", err)
			panic(http.ErrAbortHandler)
		}
		watchdog.recordProgress()
	}
	for name, values := range f.endToEndHeader(out.body.Trailer()) {
		w.Header()[name] = values
	}
	f.recordCall(c, sycamorerun.Answered, "")
}

// limitWrites ends the writes to a caller when ctx ends. The returned function
// takes the limit back: it would fail the next response on the connection.
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

// head passes the head of the response on.
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

// outcome tells the caller how its call ended, in the headers of the contract.
func (f *Forwarder) setOutcomeHeaders(header http.Header, c *call, result sycamorerun.Result, reason string) {
	setHeader(header, f.Contract.Outcome, string(result))
	if reason != "" {
		setHeader(header, f.Contract.Reason, reason)
	}
	setHeader(header, f.Contract.Request, c.id)
}

// persist tells the caller whether its connection stays open, and for how long
// without a request. It closes when the body is not read, or the node is about
// to end.
func (f *Forwarder) setConnectionHeaders(header http.Header, c *call) {
	unread := c.bodyUnread && (c.upload == nil || !c.upload.complete.Load())
	switch {
	case unread || f.drain.isLingering():
		header.Set("Connection", "close")
	case c.persistent && c.limits.keepAlive != nil:
		header["Keep-Alive"] = c.limits.keepAlive
	}
}
