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

// upload is a caller's body that streams. It is read by one goroutine, which
// may outlive the attempt, and shut by the handler.
type upload struct {
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
	// taken is set before the first read: the body can't be sent again.
	taken atomic.Bool
	ended atomic.Bool
	large atomic.Bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.taken.Store(true)
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

// Close implements io.Closer. The body itself belongs to the server.
func (u *upload) Close() error { return nil }

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
