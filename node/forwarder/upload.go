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

// upload is a caller's body that streams. It is read through loans, each for one
// attempt, and shut by the handler.
type upload struct {
	// lending guards the loan that may read, and taken.
	lending sync.Mutex
	loan    *loan
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

// loan is the body for one attempt. The goroutine that sends it may outlive the
// attempt: when an upstream rejects a request whose head it has read, the
// sender may not have asked for the body yet. It must not take bytes from the
// next attempt then.
type loan struct{ upload *upload }

// lend gives the body to the next attempt.
func (u *upload) lend() *loan {
	u.lending.Lock()
	defer u.lending.Unlock()
	u.loan = &loan{u}
	return u.loan
}

// recall ends the loan of an attempt that is over, and reports whether some of the
// body was read.
func (u *upload) recall() bool {
	u.lending.Lock()
	defer u.lending.Unlock()
	u.loan = nil
	return u.taken
}

// Read implements io.Reader.
func (l *loan) Read(p []byte) (int, error) {
	if !l.upload.take(l) {
		return 0, errDone
	}
	return l.upload.read(p)
}

// Close implements io.Closer. The body itself belongs to the server.
func (l *loan) Close() error { return nil }

// take reports whether l may read.
func (u *upload) take(l *loan) bool {
	u.lending.Lock()
	defer u.lending.Unlock()
	if u.loan != l {
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
