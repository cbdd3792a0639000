package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errBodyTooLarge = errors.New("body too large")

// linger is the time for which a caller's unread body is still read after the
// response, so that the caller is not cut off before it has the response.
const discardTimeout = 200 * time.Millisecond

// upload is a caller's body that streams. Each attempt reads it through an
// attemptBody of its own, and the handler shuts it.
type upload struct {
	// assigning guards current, which alone may read, and taken.
	attemptMutex sync.Mutex
	current      *attemptBody
	// taken says that some of the body was read: it can't be sent again.
	consumed bool
	// mutex is held during a read.
	readMutex sync.Mutex
	body      io.ReadCloser
	// finished is called at the end of the body.
	onEnd     func()
	remaining int64
	watchdog  *watchdog
	// patience runs during each read, for at most wait.
	idleTimer   *time.Timer
	idleTimeout time.Duration
	// release stops the function that unblocks a read when the call ends.
	stopUnblock func() bool
	closed      bool
	complete    atomic.Bool
	tooLarge    atomic.Bool
}

// attemptBody is the body for one attempt. The goroutine that sends it may
// outlive the attempt: when an upstream rejects a request whose head it has read,
// the sender may not have asked for the body yet. It must not take bytes from
// the next attempt then.
type attemptBody struct{ upload *upload }

// forAttempt returns the body for the next attempt.
func (u *upload) forAttempt() *attemptBody {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	u.current = &attemptBody{u}
	return u.current
}

// revoke keeps the attempt that is over from reading, and reports whether some of
// the body was read.
func (u *upload) revoke() bool {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	u.current = nil
	return u.consumed
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if !a.upload.startRead(a) {
		return 0, errDone
	}
	return a.upload.read(p)
}

// Close implements io.Closer. The body itself belongs to the server.
func (a *attemptBody) Close() error { return nil }

// take reports whether a may read.
func (u *upload) startRead(a *attemptBody) bool {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	if u.current != a {
		return false
	}
	u.consumed = true
	return true
}

func (u *upload) read(p []byte) (int, error) {
	u.readMutex.Lock()
	defer u.readMutex.Unlock()
	if u.closed {
		return 0, errDone
	}
	u.idleTimer.Reset(u.idleTimeout)
	n, err := u.body.Read(p)
	u.idleTimer.Stop()
	if n > 0 {
		u.watchdog.recordProgress()
	}
	if u.remaining -= int64(n); u.remaining < 0 {
		u.tooLarge.Store(true)
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		u.onEnd()
		u.complete.Store(true)
	}
	return n, err
}

// finish ends all reading. After it returns the body is no longer in use.
func (u *upload) finish(control *http.ResponseController, now time.Time) {
	u.stopUnblock()
	u.idleTimer.Stop()
	if !u.complete.Load() {
		_ = control.SetReadDeadline(now.Add(discardTimeout))
	}
	u.readMutex.Lock()
	defer u.readMutex.Unlock()
	u.closed = true
}

// reader returns a complete body.
func (c *call) bodyReader() io.ReadCloser {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}
