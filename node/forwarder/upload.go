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

var errTooLarge = errors.New("body too large")

// linger is the time for which a caller's unread body is still read after the
// response, so that the caller is not cut off before it has the response.
const linger = 200 * time.Millisecond

// upload is a caller's body that streams. Each attempt reads it through an
// attemptBody of its own, and the handler shuts it.
type upload struct {
	// assigning guards current, which alone may read, and taken.
	assigning sync.Mutex
	current   *attemptBody
	// taken says that some of the body was read: it can't be sent again.
	taken bool
	// mutex is held during a read.
	mutex sync.Mutex
	body  io.ReadCloser
	// finished is called at the end of the body.
	finished func()
	left     int64
	watch    *watch
	// patience runs during each read, for at most wait.
	patience *time.Timer
	wait     time.Duration
	// release stops the function that unblocks a read when the call ends.
	release func() bool
	shut    bool
	ended   atomic.Bool
	large   atomic.Bool
}

// attemptBody is the body for one attempt. The goroutine that sends it may
// outlive the attempt: when an upstream rejects a request whose head it has read,
// the sender may not have asked for the body yet. It must not take bytes from
// the next attempt then.
type attemptBody struct{ upload *upload }

// forAttempt returns the body for the next attempt.
func (u *upload) forAttempt() *attemptBody {
	u.assigning.Lock()
	defer u.assigning.Unlock()
	u.current = &attemptBody{u}
	return u.current
}

// revoke keeps the attempt that is over from reading, and reports whether some of
// the body was read.
func (u *upload) revoke() bool {
	u.assigning.Lock()
	defer u.assigning.Unlock()
	u.current = nil
	return u.taken
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if !a.upload.take(a) {
		return 0, errDone
	}
	return a.upload.read(p)
}

// Close implements io.Closer. The body itself belongs to the server.
func (a *attemptBody) Close() error { return nil }

// take reports whether a may read.
func (u *upload) take(a *attemptBody) bool {
	u.assigning.Lock()
	defer u.assigning.Unlock()
	if u.current != a {
		return false
	}
	u.taken = true
	return true
}

func (u *upload) read(p []byte) (int, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.shut {
		return 0, errDone
	}
	u.patience.Reset(u.wait)
	n, err := u.body.Read(p)
	u.patience.Stop()
	if n > 0 {
		u.watch.progress()
	}
	if u.left -= int64(n); u.left < 0 {
		u.large.Store(true)
		return 0, errTooLarge
	}
	if err == io.EOF {
		u.finished()
		u.ended.Store(true)
	}
	return n, err
}

// finish ends all reading. After it returns the body is no longer in use.
func (u *upload) finish(control *http.ResponseController, now time.Time) {
	u.release()
	u.patience.Stop()
	if !u.ended.Load() {
		_ = control.SetReadDeadline(now.Add(linger))
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.shut = true
}

// reader returns a complete body.
func (c *call) reader() io.ReadCloser {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}
