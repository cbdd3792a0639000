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

var errBodyTooLarge = errors.New("request body exceeds the limit")

// discardTimeout is how long the rest of a caller's body is still read after the
// response. Closing the connection earlier could cut off the caller before it
// has read the response.
const discardTimeout = 200 * time.Millisecond

// errBodyRead is the error of an attempt that would get only the rest of a body.
var errBodyRead = errors.New("an earlier attempt has read a part of the request body")

// upload is the streamed request body of a caller. Each attempt reads it through
// its own attemptBody, and only the first one that reads gets the body. The
// handler ends all reads with finish.
type upload struct {
	// attemptMutex guards current, the only attemptBody that may read, and
	// reader, the one that has begun to read.
	attemptMutex    sync.Mutex
	current, reader *attemptBody
	// readMutex is held during a read.
	readMutex sync.Mutex
	body      io.ReadCloser
	// onEnd is called at the end of the body.
	onEnd     func()
	remaining int64
	watchdog  *watchdog
	// idleTimer runs during each read, for at most idleTimeout.
	idleTimer   *time.Timer
	idleTimeout time.Duration
	// stopUnblock stops the function that unblocks a read when the call ends.
	stopUnblock func() bool
	closed      bool
	// size is the number of bytes that the caller has sent.
	size     atomic.Uint64
	complete atomic.Bool
	tooLarge atomic.Bool
}

// attemptBody is the request body for one attempt. The goroutine that sends it
// may outlive the attempt: if an upstream rejects a request after reading its
// head, the sender may not have started to read the body. It must then not
// consume bytes that belong to the next attempt.
type attemptBody struct{ upload *upload }

// forAttempt returns the body for the next attempt. If an earlier attempt has
// begun to read, all reads fail, since the end of the rest would look like the
// end of a whole body.
func (u *upload) forAttempt() *attemptBody {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	u.current = &attemptBody{u}
	return u.current
}

// revoke keeps the attempt that has ended from reading, and reports whether a
// part of the body was read.
func (u *upload) revoke() bool {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	u.current = nil
	return u.reader != nil
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if err := a.upload.startRead(a); err != nil {
		return 0, err
	}
	return a.upload.read(p)
}

// Close implements io.Closer. The server closes the underlying body.
func (a *attemptBody) Close() error { return nil }

// startRead returns an error if a must not read, and otherwise records that it
// has begun to.
func (u *upload) startRead(a *attemptBody) error {
	u.attemptMutex.Lock()
	defer u.attemptMutex.Unlock()
	switch {
	case u.current != a:
		return errDone
	case u.reader != nil && u.reader != a:
		return errBodyRead
	}
	u.reader = a
	return nil
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
		u.size.Add(uint64(n))
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

// finish ends all reads. The body is no longer in use after it returns.
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

// bodyState says whether another attempt can send the whole request body.
type bodyState string

// Values of bodyState.
const (
	bodyBuffered bodyState = "buffered"
	bodyUnread   bodyState = "unread"
	bodyRead     bodyState = "read"
)

// revokeBody keeps the attempt that has ended from reading the request body, and
// returns the state of the body, which no longer changes.
func (c *call) revokeBody() bodyState {
	switch {
	case c.upload == nil:
		return bodyBuffered
	case c.upload.revoke():
		return bodyRead
	default:
		return bodyUnread
	}
}

// bodyReader returns a reader of a buffered body.
func (c *call) bodyReader() io.ReadCloser {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}
