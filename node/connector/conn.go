package connector

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
)

// meteredConn counts the bytes of a connection, TLS overhead included, and
// records when data last arrived.
type meteredConn struct {
	net.Conn
	bytesIn, bytesOut atomic.Int64
	// segmentsIn, segmentsOut, headersIn and headersOut come from the kernel's
	// counters. sample updates them.
	segmentsIn, segmentsOut atomic.Int64
	headersIn, headersOut   atomic.Int64
	segments                *segmentCounter
	// lastReceived is the time of the last read as an offset from opened. Go
	// subtracts times by the monotonic clock, so clock adjustments have no effect.
	lastReceived atomic.Int64
	opened       time.Time
}

func newMeteredConn(conn net.Conn, now time.Time) *meteredConn {
	return &meteredConn{Conn: conn, segments: newSegmentCounter(conn), opened: now}
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.bytesIn.Add(int64(n))
		m.lastReceived.Store(int64(time.Since(m.opened)))
	}
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.bytesOut.Add(int64(n))
	return n, err
}

// sample adds the kernel's counts since the last call.
func (m *meteredConn) sample() {
	in, out, inBytes, outBytes := m.segments.delta()
	m.segmentsIn.Add(in)
	m.segmentsOut.Add(out)
	m.headersIn.Add(inBytes)
	m.headersOut.Add(outBytes)
}

// Close samples first, since the kernel drops its counters with the connection.
func (m *meteredConn) Close() error {
	m.sample()
	return m.Conn.Close()
}

// silence returns the time since data last arrived.
func (m *meteredConn) silence(now time.Time) time.Duration {
	return now.Sub(m.opened) - time.Duration(m.lastReceived.Load())
}

// Sizes for coalescing yamux frames. A frame header holds the version, the
// type, two bytes of flags, four of the stream id and four of the length.
const (
	frameHeaderBytes = 12
	// maxCoalescedBytes is the longest body that is copied into the buffer of the
	// frameCoalescer itself.
	maxCoalescedBytes = 1400
	// maxRecordBytes is the maximum payload of a TLS record.
	maxRecordBytes = 16 << 10
)

// recordBuffers pools buffers for the first TLS record of a longer frame.
var recordBuffers = sync.Pool{New: func() any { return new([maxRecordBytes]byte) }}

// frameCoalescer writes the header and body of a yamux frame together. Yamux
// writes them separately, which would cost a second TLS record and a second
// system call for each frame.
type frameCoalescer struct {
	net.Conn
	// pendingHeader is the header of a frame whose body has not been written yet.
	// It needs no lock, since only yamux's sending goroutine writes.
	pendingHeader []byte
}

func (f *frameCoalescer) Write(p []byte) (int, error) {
	if len(f.pendingHeader) == 0 && isDataHeader(p) {
		f.pendingHeader = append(f.pendingHeader, p...)
		return len(p), nil
	}
	if len(f.pendingHeader) == 0 {
		return f.Conn.Write(p)
	}
	frame := f.pendingHeader
	f.pendingHeader = f.pendingHeader[:0]
	if len(p) <= maxCoalescedBytes {
		joined := append(frame, p...)
		f.pendingHeader = joined[:0]
		n, err := f.Conn.Write(joined)
		return max(n-frameHeaderBytes, 0), err
	}
	record := recordBuffers.Get().(*[maxRecordBytes]byte)
	n := copy(record[:], frame)
	first := copy(record[n:], p)
	sent, err := f.Conn.Write(record[:n+first])
	recordBuffers.Put(record)
	if err != nil || first == len(p) {
		return max(sent-n, 0), err
	}
	sent, err = f.Conn.Write(p[first:])
	return first + sent, err
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderBytes && p[0] == 0 && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0
}

// Stream is a stream of a session. It counts its payload bytes.
type Stream struct {
	net.Conn
	in, out   tally.Counter
	connector *Connector
	session   *session
}

// LocalSession returns this node's number of the session of the stream.
func (s *Stream) LocalSession() uint64 { return s.session.number }

// RemoteSession returns the session of the stream as the peer knows it.
func (s *Stream) RemoteSession() sycamorerun.Session { return s.session.remote }

// RemoteRun returns the run of the peer that a stream of a connector leads to.
func RemoteRun(stream net.Conn) sycamorerun.Run {
	return stream.(*Stream).RemoteSession().Run
}

func (c *Connector) wrap(s *session, conn net.Conn, kind string) net.Conn {
	return &Stream{
		Conn: conn, connector: c, session: s,
		in: c.metrics.streamBytes(s.scope, "in", kind), out: c.metrics.streamBytes(s.scope, "out", kind),
	}
}

// SetAwaiting records whether a call on the stream is waiting for the peer. A
// silent session is detected sooner while calls are waiting.
func (s *Stream) SetAwaiting(waiting bool) { s.connector.setAwaiting(s.session, waiting) }

func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.in.Inc(int64(n))
	return n, err
}

// Write returns an error that wraps net.ErrClosed if the stream was already
// closed, so that no byte of p was sent. After other yamux errors p may have been
// sent: a frame in yamux's send queue may still be written.
func (s *Stream) Write(p []byte) (int, error) {
	if s.session.mux.IsClosed() {
		return 0, errors.Wrap(net.ErrClosed, "write to a stream of a closed session")
	}
	n, err := s.Conn.Write(p)
	s.out.Inc(int64(n))
	if n == 0 && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)) {
		err = errors.Wrap(net.ErrClosed, err.Error())
	}
	return n, err
}

// Close closes both directions, as net.Conn requires. Close of a yamux stream
// closes only the sending direction and leaves readers blocked.
func (s *Stream) Close() error {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	return s.Conn.Close()
}

// Shrink frees the receive buffer if it is empty. Yamux otherwise keeps it at
// the size of the largest backlog, up to 256 KiB.
func (s *Stream) Shrink() {
	if shrinker, ok := s.Conn.(interface{ Shrink() }); ok {
		shrinker.Shrink()
	}
}

// CloseWrite closes the sending direction. Data from the peer can still be read.
func (s *Stream) CloseWrite() error { return s.Conn.Close() }
