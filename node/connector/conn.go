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
)

// wire counts the bytes of a connection, TLS overhead included, and remembers
// when the last ones arrived.
type wire struct {
	net.Conn
	in, out atomic.Int64
	// segmentsIn, segmentsOut, headersIn and headersOut are counted by the
	// kernel and taken over by sample.
	segmentsIn, segmentsOut atomic.Int64
	headersIn, headersOut   atomic.Int64
	segments                *segmentCounter
	// received is the time of the last read, from opened on. Go takes the
	// difference of two times from the monotonic clock, which is never set.
	received atomic.Int64
	opened   time.Time
}

func newWire(conn net.Conn, now time.Time) *wire {
	return &wire{Conn: conn, segments: newSegmentCounter(conn), opened: now}
}

func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.in.Add(int64(n))
		w.received.Store(int64(time.Since(w.opened)))
	}
	return n, err
}

func (w *wire) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.out.Add(int64(n))
	return n, err
}

// sample takes over what the kernel has counted since the last call.
func (w *wire) sample() {
	in, out, inBytes, outBytes := w.segments.advance()
	w.segmentsIn.Add(in)
	w.segmentsOut.Add(out)
	w.headersIn.Add(inBytes)
	w.headersOut.Add(outBytes)
}

// Close samples first, since the kernel's counts end with the connection.
func (w *wire) Close() error {
	w.sample()
	return w.Conn.Close()
}

// silence returns how long nothing has arrived.
func (w *wire) silence(now time.Time) time.Duration {
	return now.Sub(w.opened) - time.Duration(w.received.Load())
}

// Parts of a yamux frame: the header has the version, the type, two bytes of
// flags, four of the stream and four of the length.
const (
	headerBytes = 12
	// joinedBytes is the longest body that is kept in the joiner's own buffer.
	joinedBytes = 1400
	// recordBytes is what a TLS record holds at most.
	recordBytes = 16 << 10
)

// records are buffers for the first record of a longer frame.
var records = sync.Pool{New: func() any { return new([recordBytes]byte) }}

// joiner sends a yamux frame's header and body together. Yamux writes them one
// after the other, which would cost a second TLS record and a second system
// call for each frame.
type joiner struct {
	net.Conn
	// header is the one that waits for its body. Only yamux's sending
	// goroutine writes.
	header []byte
}

func (j *joiner) Write(p []byte) (int, error) {
	if len(j.header) == 0 && dataHeader(p) {
		j.header = append(j.header, p...)
		return len(p), nil
	}
	if len(j.header) == 0 {
		return j.Conn.Write(p)
	}
	frame := j.header
	j.header = j.header[:0]
	if len(p) <= joinedBytes {
		joined := append(frame, p...)
		j.header = joined[:0]
		n, err := j.Conn.Write(joined)
		return max(n-headerBytes, 0), err
	}
	record := records.Get().(*[recordBytes]byte)
	n := copy(record[:], frame)
	first := copy(record[n:], p)
	sent, err := j.Conn.Write(record[:n+first])
	records.Put(record)
	if err != nil || first == len(p) {
		return max(sent-n, 0), err
	}
	sent, err = j.Conn.Write(p[first:])
	return first + sent, err
}

// dataHeader reports whether p is the header of a data frame with a body.
func dataHeader(p []byte) bool {
	return len(p) == headerBytes && p[0] == 0 && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0
}

// stream counts the payload bytes of one stream.
type stream struct {
	net.Conn
	in, out   tally.Counter
	connector *Connector
	session   *session
}

func (c *Connector) wrap(s *session, conn net.Conn, kind string) net.Conn {
	return &stream{
		Conn: conn, connector: c, session: s,
		in: c.metrics.streamBytes(s.scope, "in", kind), out: c.metrics.streamBytes(s.scope, "out", kind),
	}
}

// SetAwaiting says that a call on the stream begins to wait for the peer, or ends. While
// calls wait, a silent session is found sooner.
func (s *stream) SetAwaiting(waits bool) { s.connector.await(s.session, waits) }

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.in.Inc(int64(n))
	return n, err
}

// Write returns an error that is net.ErrClosed if the stream had ended before,
// so that nothing of p was sent. Other errors of yamux leave that open: a frame
// that waits in its queue may still be written.
func (s *stream) Write(p []byte) (int, error) {
	if s.session.mux.IsClosed() {
		return 0, errors.Wrap(net.ErrClosed, "session ended")
	}
	n, err := s.Conn.Write(p)
	s.out.Inc(int64(n))
	if n == 0 && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)) {
		err = errors.Wrap(net.ErrClosed, err.Error())
	}
	return n, err
}

// Close ends both directions, as net.Conn requires. A yamux stream's own Close
// ends only the sending one and leaves readers blocked.
func (s *stream) Close() error {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	return s.Conn.Close()
}

// Shrink frees the receive buffer when it is empty. Yamux keeps it at the size
// of the largest backlog, up to 256 KiB.
func (s *stream) Shrink() {
	if shrinker, ok := s.Conn.(interface{ Shrink() }); ok {
		shrinker.Shrink()
	}
}

// CloseWrite ends the sending direction; the peer's bytes can still be read.
func (s *stream) CloseWrite() error { return s.Conn.Close() }
