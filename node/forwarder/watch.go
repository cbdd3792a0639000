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
type watch struct {
	deadline time.Time
	idle     time.Duration
	timer    *time.Timer
	// cancel ends the call.
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// stalled ends the attempt, or the call outside of attempts.
	stalled context.CancelCauseFunc
}

// bound returns a context that ends at the deadline, when progress is not
// called for idle, or with the cause given to stop. A limit of zero means none.
// One timer serves both limits.
func bound(parent context.Context, deadline time.Time, idle time.Duration) (context.Context, *watch, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{deadline: deadline, idle: idle, cancel: cancel, stalled: cancel}
	if next := w.next(time.Now()); next > 0 {
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
func (w *watch) attempt(ctx context.Context, c *call) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if c.complete {
		w.mutex.Lock()
		w.stalled = cancel
		w.mutex.Unlock()
	}
	w.progress()
	return ctx, cancel
}

// next returns the time until the first limit, or zero if there is none.
func (w *watch) next(now time.Time) time.Duration {
	if w.deadline.IsZero() {
		return w.idle
	}
	left := max(1, w.deadline.Sub(now))
	if w.idle > 0 {
		left = min(left, w.idle)
	}
	return left
}

func (w *watch) expire() {
	if !w.deadline.IsZero() && !time.Now().Before(w.deadline) {
		w.cancel(context.DeadlineExceeded)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stalled(errIdle)
}

func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.next(time.Now()))
	}
}

// ended returns the reason for which ctx ended, or otherwise if it has not.
func ended(ctx context.Context, otherwise string) string {
	if ctx.Err() == nil {
		return otherwise
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errIdle):
		return reasonIdle
	case errors.Is(cause, context.DeadlineExceeded):
		return reasonExpired
	default:
		return reasonCanceled
	}
}

// source yields a body. Next returns io.EOF only at the end of a complete
// body, and bytes that are valid until the following call.
type source interface {
	Next() ([]byte, error)
	// Trailer returns the trailers once Next has returned io.EOF.
	Trailer() http.Header
	Close()
}

// whole is the source of a body that is in memory.
type whole []byte

func (b *whole) Next() ([]byte, error) {
	if len(*b) == 0 {
		return nil, io.EOF
	}
	data := *b
	*b = nil
	return data, nil
}

func (b *whole) Trailer() http.Header { return nil }
func (b *whole) Close()               {}
