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
	"sycamorerun/node/governor"
)

const (
	// readAheadBytes is how much net/http may read beyond a header: its buffer may
	// hold the beginning of the body.
	readAheadBytes = 4 << 10
	// lateReadGrace is the time after a deadline in which available data is still
	// read. If the process was suspended, the request may have arrived although
	// the deadline has passed.
	lateReadGrace = 20 * time.Millisecond
	// rejectTimeout limits the time to write an error response, and the time to
	// read the caller's remaining data after it. Closing at once would reset the
	// connection, and a caller that is still sending would lose the response.
	rejectTimeout = 500 * time.Millisecond
	// maxDiscardBytes limits how much is read after an error response. The socket
	// buffers of both sides hold a few MB more.
	maxDiscardBytes = 4 << 20
)

// phase is the state of a connection in the sequence of requests.
type phase int

const (
	// readingHeader lasts until the header of a request is complete.
	readingHeader phase = iota
	// serving lasts until the response is complete. The handler limits its time.
	serving
	// idle lasts from the end of a response to the next request.
	idle
)

var errHeaderRejected = errors.New("request header exceeds the size or time limit")

// conn is a caller's connection. In the phases readingHeader and idle it sets
// the read deadline itself and ignores the one that net/http sets.
type conn struct {
	net.Conn
	listener *Listener

	mutex sync.Mutex
	phase phase
	// phaseStart is when the phase began, deadline when it must end. A zero
	// deadline means no limit.
	phaseStart, deadline time.Time
	// advertisedIdle is the idle time in force when the last request began. It may
	// have been advertised to the caller.
	advertisedIdle sycamorerun.Duration
	// graceGranted is set once lateReadGrace was added to the deadline.
	graceGranted bool
	// headerBytes counts the bytes of the header, and of a body that arrives in
	// the same read.
	headerBytes int
	// firstRequest is set until the header of the first request is complete.
	// prefix holds the first bytes of that header.
	firstRequest bool
	prefix       [4]byte
	// http2 is set if the connection carries HTTP/2 frames. Requests begin and end
	// within these, so only the time without any request is limited here.
	http2     bool
	rejectErr error
	// evicted is set once the connection has been ended to make room for others.
	evicted bool
	// holder is the account of the connection, or nil. It must not be called with
	// the mutex locked, since it may evict this connection.
	holder *governor.Holder
	// bodyHeld is how much of the body in progress is accounted for.
	bodyHeld int
	// frames is the account of HTTP/2 frames.
	frames frames
	// handled is set once the request has reached the handler.
	handled atomic.Bool
}

// enterPhase begins a phase and sets its deadline.
func (c *conn) enterPhase(now time.Time, next phase, limits sycamorerun.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted {
		return
	}
	c.firstRequest = c.firstRequest && next == readingHeader
	c.bodyHeld = 0
	if next == idle {
		c.frames.reset()
	}
	c.handled.Store(false)
	switch {
	case next == serving:
		c.advertisedIdle = limits.Idle
	case next == idle && limits.Idle > 0 && c.advertisedIdle > 0:
		limits.Idle = max(limits.Idle, c.advertisedIdle)
	case next == idle:
		limits.Idle = 0
	}
	c.phase, c.phaseStart, c.deadline, c.graceGranted, c.headerBytes = next, now, time.Time{}, false, 0
	if timeout := c.phaseTimeout(limits); timeout > 0 {
		c.deadline = now.Add(timeout)
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// phaseTimeout returns the time limit of the phase, zero for none.
func (c *conn) phaseTimeout(limits sycamorerun.Limits) time.Duration {
	switch c.phase {
	case readingHeader:
		return time.Duration(limits.Wait)
	case idle:
		return time.Duration(limits.Idle)
	}
	return 0
}

// extendDeadline moves the deadline of the phase if the limits allow more time.
func (c *conn) extendDeadline(limits sycamorerun.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.deadline.IsZero() || c.evicted {
		return
	}
	var deadline time.Time
	if timeout := c.phaseTimeout(limits); timeout > 0 {
		deadline = c.phaseStart.Add(timeout)
	}
	if deadline.IsZero() || deadline.After(c.deadline) {
		c.deadline, c.graceGranted = deadline, false
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// SetReadDeadline implements net.Conn. It has an effect only while HTTP/1
// requests are served.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != serving || c.http2 || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It has no effect on a connection that has
// been evicted.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Read implements net.Conn and rejects headers that exceed the limits.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.account(p[:n])
		status, again := c.checkRead(time.Now(), p[:n], err)
		switch {
		case again:
		case status == 0 && err != nil && c.isEvicted():
			return n, governor.ErrEvicted
		case status != 0:
			return 0, c.reject(status)
		default:
			return n, err
		}
	}
}

// checkRead decides on the result of a read: whether to read again, or to
// reject the request with a status.
func (c *conn) checkRead(now time.Time, data []byte, err error) (status int, again bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var netErr net.Error
	timedOut := len(data) == 0 && errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case c.evicted && c.phase != serving && c.rejectErr == nil && !c.http2 && c.headerBytes+len(data) > 0:
		return http.StatusServiceUnavailable, false
	case c.evicted:
		return 0, false
	case c.phase == serving:
		// A read of HTTP/2 frames continues while requests begin and end.
		return 0, timedOut && c.http2
	case timedOut && c.rejectErr == nil && (c.deadline.IsZero() || now.Before(c.deadline)):
		return 0, true // the limits have changed in the meantime
	case timedOut && c.rejectErr == nil && !c.graceGranted:
		c.graceGranted = true
		_ = c.Conn.SetReadDeadline(now.Add(lateReadGrace))
		return 0, true
	case c.rejectErr != nil || c.http2:
		return 0, false
	case timedOut && c.phase == readingHeader && c.headerBytes > 0:
		return http.StatusRequestTimeout, false
	case len(data) > 0:
		return c.countHeader(now, data), false
	}
	return 0, false
}

// countHeader counts the bytes of a header. Its first bytes end the idle phase.
func (c *conn) countHeader(now time.Time, data []byte) (status int) {
	limits := *c.listener.limits.Load()
	if c.phase == idle {
		c.phase, c.phaseStart, c.deadline, c.graceGranted, c.headerBytes = readingHeader, now, time.Time{}, false, 0
		if timeout := c.phaseTimeout(limits); timeout > 0 {
			c.deadline = now.Add(timeout)
		}
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	if c.firstRequest && c.headerBytes < len(c.prefix) {
		copy(c.prefix[c.headerBytes:], data)
		c.http2 = string(c.prefix[:]) == "PRI "
	}
	if c.headerBytes += len(data); !c.http2 && limits.Header > 0 && c.headerBytes > limits.Header+readAheadBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}

// reject sends the error response for the status, then discards further data
// for up to rejectTimeout. An evicted connection is closed at once: its descriptor is
// needed.
func (c *conn) reject(status int) error {
	// After an error of this type, net/http closes the connection without sending
	// a response.
	opErr := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeaderRejected}
	c.mutex.Lock()
	c.rejectErr = opErr
	evicted := c.evicted
	c.mutex.Unlock()
	deadline := time.Now().Add(rejectTimeout)
	_ = c.Conn.SetDeadline(deadline)
	_, err := c.Conn.Write(c.listener.ErrorResponse(status))
	switch {
	case evicted:
		_ = c.Conn.Close()
	case err == nil && c.halfClose() == nil:
		c.discard()
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return opErr
}

// CloseWrite shuts down the sending side. net/http calls it half a second
// before it closes a connection with unread data. Some of that data is read in
// the meantime, since many callers look for a response only after sending
// everything.
func (c *conn) CloseWrite() error {
	if c.isEvicted() {
		return c.Conn.Close()
	}
	err := c.halfClose()
	if err == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(rejectTimeout))
		go c.discard()
	}
	return err
}

func (c *conn) halfClose() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// discard reads remaining data of the caller, up to maxDiscardBytes.
func (c *conn) discard() { _, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes) }

// Close implements net.Conn. After its own response to a malformed request,
// net/http closes at once and leaves the rest of the request unread. That rest
// is discarded here before the connection is closed.
func (c *conn) Close() error {
	c.listener.remove(c)
	if !c.unhandled() || c.halfClose() != nil {
		return c.closeAccounted()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(rejectTimeout))
	go func() {
		c.discard()
		_ = c.closeAccounted()
	}()
	return nil
}

// closeAccounted closes the connection, and its account once its descriptor is free.
func (c *conn) closeAccounted() error {
	err := c.Conn.Close()
	c.hold((*governor.Holder).Close)
	return err
}

// unhandled reports whether a request was read but did not reach the handler.
func (c *conn) unhandled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase == serving && !c.http2 && !c.evicted && c.rejectErr == nil && !c.handled.Load()
}
