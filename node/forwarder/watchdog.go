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
	errIdle     = errors.New("no progress within the idle limit")
	errCanceled = errors.New("the caller canceled the call")
	errDone     = errors.New("the call has ended")
)

// watch ends a call at its deadline, and the attempt that is under way when it
// makes no progress.
type watchdog struct {
	deadline time.Time
	idle     time.Duration
	timer    *time.Timer
	// cancel ends the call.
	cancelCall context.CancelCauseFunc

	mutex sync.Mutex
	// stalled ends the attempt, or the call outside of attempts.
	cancelIdle context.CancelCauseFunc
}

// bound returns a context that ends at the deadline, when progress is not
// called for idle, or with the cause given to stop. A limit of zero means none.
// One timer serves both limits.
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

// attempt returns the context of one attempt. From now on a lack of progress
// ends the attempt and not the call, so that another instance can be tried. A
// streamed body can't be sent again, and the caller who stopped sending it may
// be the cause, so there the call ends.
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

// next returns the time until the first limit, or zero if there is none.
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

// ended returns the reason for which ctx ended, or otherwise if it has not.
func endReason(ctx context.Context, fallback string) string {
	if ctx.Err() == nil {
		return fallback
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errIdle):
		return reasonIdle
	case errors.Is(cause, context.DeadlineExceeded):
		return reasonDeadlineExceeded
	default:
		return reasonCanceled
	}
}

// source yields a body. Next returns io.EOF only at the end of a complete
// body, and bytes that are valid until the following call.
type bodySource interface {
	Next() ([]byte, error)
	// Trailer returns the trailers once Next has returned io.EOF.
	Trailer() http.Header
	Close()
}

// whole is the source of a body that is in memory.
type bufferedBody []byte

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
