package requester

import (
	"bufio"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// keepAlive configures the probes that detect a dead peer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// userTimeout limits how long written data may stay unacknowledged by the
// upstream's operating system.
const userTimeout = 3 * time.Second

var errTooLarge = errors.New("response header, or response to an earlier request, exceeds the size limit")

// conn is a connection to the upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// raw is nil if the connection is not a socket.
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// reused is set once the connection has carried a request, sentHEAD once it
	// has carried a HEAD request.
	reused, sentHEAD bool
	// refused holds the hashes of the request IDs that the upstream refused. None
	// of them is sent on the connection again, since the upstream may write a
	// refusal once more.
	refused []uint64
	expires time.Time
	// readRemaining is the number of bytes that may still be read of a response
	// header or a skipped response. It is negative if there is no limit.
	readRemaining int
	// wrote is set if a part of the current request may have been written,
	// writeFailed if a write failed.
	wrote, writeFailed atomic.Bool
	// writeMutex is held during a write.
	writeMutex sync.Mutex
	closeOnce  sync.Once
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	if socket, ok := inner.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	c.reader, c.writer = bufio.NewReaderSize(c, bufferBytes), bufio.NewWriterSize(c, bufferBytes)
	return c
}

// maxRefused is the number of refused requests after which a connection is
// closed.
const maxRefused = 256

var hashSeed = maphash.MakeSeed()

// addRefused records that the upstream refused the request with an ID, and
// reports whether the connection has room for another one.
func (c *conn) addRefused(id string) bool {
	c.refused = append(c.refused, maphash.String(hashSeed, id))
	return len(c.refused) < maxRefused
}

// hasRefused reports whether the upstream may have refused a request with an ID.
func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(hashSeed, id))
}

// Read implements net.Conn and limits the size of response headers and
// skipped responses.
func (c *conn) Read(p []byte) (int, error) {
	if c.readRemaining == 0 {
		return 0, errTooLarge
	}
	if c.readRemaining > 0 {
		p = p[:min(len(p), c.readRemaining)]
	}
	n, err := c.Conn.Read(p)
	if c.readRemaining > 0 {
		c.readRemaining -= n
	}
	return n, err
}

// Write implements net.Conn and records whether the upstream may have received
// any part of the request.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	first := !c.wrote.Swap(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
		if first && n == 0 {
			c.wrote.Store(false)
		}
	}
	return n, err
}

// nothingWritten reports whether no part of the request was written. The
// connection must be closed before, so that a write in progress ends and no
// other one follows.
func (c *conn) nothingWritten() bool {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	return !c.wrote.Load()
}

// copyBufferBytes is the buffer size for reading a streamed body.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ReadFrom implements io.ReaderFrom and writes each part of a body as soon as
// it is read. The bufio.Writer alone would hold it back until its buffer is
// full.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var total int64
	for {
		n, err := source.Read(buffer[:])
		if n > 0 {
			written, err := c.Write(buffer[:n])
			total += int64(written)
			if err != nil {
				return total, err
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// halfClose tells the upstream that nothing more will be written.
func (c *conn) halfClose() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.CloseWrite()
	}
}
