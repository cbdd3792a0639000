package listener

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

const (
	// slackBytes is what net/http reads beyond a header: its buffer, in which
	// the beginning of the body may be.
	slackBytes = 4 << 10
	// lookTime is the time after a limit in which bytes that are there are still
	// read. After a suspension of the process both the limit has passed and the
	// request has arrived.
	lookTime = 20 * time.Millisecond
	// refuseTime bounds the writing of a refusal, and the time for which the
	// caller's bytes are read after it. Closing at once would reset the
	// connection, and a caller that still sends would not see the response.
	refuseTime = 500 * time.Millisecond
	// refuseBytes bounds the bytes that are read after a refusal. The systems of
	// both sides take a few MB more.
	refuseBytes = 4 << 20
)

// phase is what a connection is used for.
type phase int

const (
	// reading: the first bytes or the rest of a header are awaited.
	reading phase = iota
	// serving: the header is complete, and the handler decides on the time.
	serving
	// resting: the response is complete, and there is no further request.
	resting
)

var errRefused = errors.New("the header is beyond the limits")

// conn is a caller's connection. In the phases reading and resting its read
// deadline is set here, and what net/http sets is ignored.
type conn struct {
	net.Conn
	listener *Listener

	mutex sync.Mutex
	phase phase
	// began is when the phase began, ends when its time is over; zero means
	// never.
	began, ends time.Time
	// told is the idle time in force when the last request began, which its caller
	// may have been told.
	told sycamorerun.Duration
	// looked says that lookTime was granted.
	looked bool
	// bytes counts those of the header, and of a body behind it in one read.
	bytes int
	// fresh says that there was no request before, first has its first bytes.
	fresh bool
	first [4]byte
	// http2 says that the connection carries frames of HTTP/2. Requests begin
	// and end within them, so that only the time without any is limited here.
	http2   bool
	refused error
	// handled says that the request has reached the handler.
	handled atomic.Bool
}

// enter begins a phase.
func (c *conn) enter(now time.Time, next phase, limits sycamorerun.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fresh = c.fresh && next == reading
	c.handled.Store(false)
	switch {
	case next == serving:
		c.told = limits.Idle
	case next == resting && limits.Idle > 0 && c.told > 0:
		limits.Idle = max(limits.Idle, c.told)
	case next == resting:
		limits.Idle = 0
	}
	c.phase, c.began, c.ends, c.looked, c.bytes = next, now, time.Time{}, false, 0
	if allowed := c.allowed(limits); allowed > 0 {
		c.ends = now.Add(allowed)
	}
	_ = c.Conn.SetReadDeadline(c.ends)
}

// allowed returns the time for the phase, zero meaning any.
func (c *conn) allowed(limits sycamorerun.Limits) time.Duration {
	switch c.phase {
	case reading:
		return time.Duration(limits.Wait)
	case resting:
		return time.Duration(limits.Idle)
	}
	return 0
}

// extend gives the phase more time if the limits do.
func (c *conn) extend(limits sycamorerun.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ends.IsZero() {
		return
	}
	var ends time.Time
	if allowed := c.allowed(limits); allowed > 0 {
		ends = c.began.Add(allowed)
	}
	if ends.IsZero() || ends.After(c.ends) {
		c.ends, c.looked = ends, false
		_ = c.Conn.SetReadDeadline(ends)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != serving || c.http2 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		status, again := c.judge(time.Now(), p[:n], err)
		switch {
		case again:
		case status != 0:
			return 0, c.refuse(status)
		default:
			return n, err
		}
	}
}

// judge decides on the result of a read: whether to read again, or to refuse the
// request with a status.
func (c *conn) judge(now time.Time, data []byte, err error) (status int, again bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var failed net.Error
	late := len(data) == 0 && errors.As(err, &failed) && failed.Timeout()
	switch {
	case c.phase == serving:
		// A read of HTTP/2 frames goes on while requests begin and end.
		return 0, late && c.http2
	case late && c.refused == nil && (c.ends.IsZero() || now.Before(c.ends)):
		return 0, true // the limits have changed meanwhile
	case late && c.refused == nil && !c.looked:
		c.looked = true
		_ = c.Conn.SetReadDeadline(now.Add(lookTime))
		return 0, true
	case c.refused != nil || c.http2:
		return 0, false
	case late && c.phase == reading && c.bytes > 0:
		return http.StatusRequestTimeout, false
	case len(data) > 0:
		return c.header(now, data), false
	}
	return 0, false
}

// header counts the bytes of a header, the first of which end the time of rest.
func (c *conn) header(now time.Time, data []byte) (status int) {
	limits := *c.listener.limits.Load()
	if c.phase == resting {
		c.phase, c.began, c.ends, c.looked, c.bytes = reading, now, time.Time{}, false, 0
		if allowed := c.allowed(limits); allowed > 0 {
			c.ends = now.Add(allowed)
		}
		_ = c.Conn.SetReadDeadline(c.ends)
	}
	if c.fresh && c.bytes < len(c.first) {
		copy(c.first[c.bytes:], data)
		c.http2 = string(c.first[:]) == "PRI "
	}
	if c.bytes += len(data); !c.http2 && limits.Header > 0 && c.bytes > limits.Header+slackBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

// refuse sends the response with the status and reads on for a while.
func (c *conn) refuse(status int) error {
	// net/http closes a connection without a response after an error of this
	// type.
	failed := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
	c.mutex.Lock()
	c.refused = failed
	c.mutex.Unlock()
	limit := time.Now().Add(refuseTime)
	_ = c.Conn.SetDeadline(limit)
	if _, err := c.Conn.Write(c.listener.ErrorResponse(status)); err == nil && c.halfClose() == nil {
		c.discard()
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return failed
}

// CloseWrite ends the responses. net/http does that half a second before it
// closes a connection with unread bytes. Some of these are read meanwhile, since
// many callers look for a response only when they have sent all.
func (c *conn) CloseWrite() error {
	err := c.halfClose()
	if err == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(refuseTime))
		go c.discard()
	}
	return err
}

func (c *conn) halfClose() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// discard reads what the caller still sends, within bounds.
func (c *conn) discard() { _, _ = io.CopyN(io.Discard, c.Conn, refuseBytes) }

// Close implements net.Conn. After its own answer to a malformed request,
// net/http closes at once, with the rest of the request unread.
func (c *conn) Close() error {
	c.listener.remove(c)
	if !c.rejected() || c.halfClose() != nil {
		return c.Conn.Close()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(refuseTime))
	go func() {
		c.discard()
		_ = c.Conn.Close()
	}()
	return nil
}

// rejected reports whether a request was read and did not reach the handler.
func (c *conn) rejected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase == serving && !c.http2 && c.refused == nil && !c.handled.Load()
}
