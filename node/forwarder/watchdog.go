package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	errIdle     = errors.New("no progress within the idle timeout")
	errCanceled = errors.New("call canceled by the caller")
	errDone     = errors.New("call has ended")
)

// watchdog ends a call at its deadline, and an attempt that makes no progress
// for the idle timeout.
type watchdog struct {
	deadline time.Time
	idle     time.Duration
	timer    *time.Timer
	// cancelCall ends the call.
	cancelCall context.CancelCauseFunc

	mutex sync.Mutex
	// cancelIdle ends the current attempt, or the call if no attempt is running.
	cancelIdle context.CancelCauseFunc
}

// withWatchdog returns a context that ends at the deadline, after idle without a
// call of recordProgress, or with the cause passed to the returned function. A
// limit of zero means none. One timer serves both limits.
func withWatchdog(parent context.Context, deadline time.Time, idle time.Duration) (context.Context, *watchdog, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{deadline: deadline, idle: idle, cancelCall: cancel, cancelIdle: cancel}
	if next := w.untilNextLimit(time.Now()); next > 0 {
		w.timer = time.AfterFunc(next, w.expire)
	}
	return ctx, w, func(cause error) {
		if w.timer != nil {
			w.timer.Stop()
		}
		cancel(cause)
	}
}

// startAttempt returns the context of one attempt. From then on a lack of
// progress ends the attempt instead of the call, so that another instance can be
// tried. A streamed body is an exception and the call ends: the body can't be
// sent again, and it may be the caller that stopped sending it.
func (w *watchdog) startAttempt(ctx context.Context, c *call) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if c.buffered {
		w.mutex.Lock()
		w.cancelIdle = cancel
		w.mutex.Unlock()
	}
	w.recordProgress()
	return ctx, cancel
}

// untilNextLimit returns the time until the next limit, or zero if there is
// none.
func (w *watchdog) untilNextLimit(now time.Time) time.Duration {
	if w.deadline.IsZero() {
		return w.idle
	}
	left := max(1, w.deadline.Sub(now))
	if w.idle > 0 {
		left = min(left, w.idle)
	}
	return left
}

func (w *watchdog) expire() {
	if !w.deadline.IsZero() && !time.Now().Before(w.deadline) {
		w.cancelCall(context.DeadlineExceeded)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancelIdle(errIdle)
}

func (w *watchdog) recordProgress() {
	if w.timer != nil {
		w.timer.Reset(w.untilNextLimit(time.Now()))
	}
}

// endReason returns the reason for the end of ctx, or fallback if it has not
// ended.
func endReason(ctx context.Context, fallback string) string {
	if ctx.Err() == nil {
		return fallback
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errIdle):
		return reasonIdle
	case errors.Is(cause, context.DeadlineExceeded):
		return reasonDeadlineExceeded
	case errors.Is(cause, errStopping):
		return reasonStopping
	default:
		return reasonCanceled
	}
}

// bodySource reads a body. Next returns io.EOF only at the end of a complete
// body. Its bytes are valid until the next call.
type bodySource interface {
	Next() ([]byte, error)
	// Trailer returns the trailers once Next has returned io.EOF.
	Trailer() http.Header
	Close()
}

// bufferedBody is the bodySource of a body that is in memory.
type bufferedBody []byte

// isInMemory reports whether all of a body is in memory, also if it is observed.
func isInMemory(body bodySource) bool {
	if observed, ok := body.(*observedBody); ok {
		body = observed.bodySource
	}
	_, ok := body.(*bufferedBody)
	return ok
}

func (b *bufferedBody) Next() ([]byte, error) {
	if len(*b) == 0 {
		return nil, io.EOF
	}
	data := *b
	*b = nil
	return data, nil
}

func (b *bufferedBody) Trailer() http.Header { return nil }
func (b *bufferedBody) Close()               {}
