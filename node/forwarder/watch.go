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

// watch cancels a call, or the attempt that is under way, when it makes no
// progress.
type watch struct {
	idle  time.Duration
	timer *time.Timer

	mutex  sync.Mutex
	cancel context.CancelCauseFunc
}

// bound returns a context that ends at the deadline, or when progress is not
// called for idle. A limit of zero means none.
func bound(parent context.Context, deadline time.Time, idle time.Duration) (context.Context, *watch, context.CancelFunc) {
	stop := context.CancelFunc(func() {})
	if !deadline.IsZero() {
		parent, stop = context.WithDeadline(parent, deadline)
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{idle: idle, cancel: cancel}
	if idle > 0 {
		w.timer = time.AfterFunc(idle, w.expire)
	}
	return ctx, w, func() {
		if w.timer != nil {
			w.timer.Stop()
		}
		cancel(errDone)
		stop()
	}
}

// attempt returns the context of one attempt. From now on a lack of progress
// ends the attempt and not the call, so that another instance can be tried.
func (w *watch) attempt(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mutex.Lock()
	w.cancel = cancel
	w.mutex.Unlock()
	w.progress()
	return ctx, cancel
}

func (w *watch) expire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel(errIdle)
}

func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.idle)
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
