package requester

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// probes detect a connection that has gone silent.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// userTimeout bounds the time for which the upstream's system confirms nothing
// that was written.
const userTimeout = 3 * time.Second

var errHead = errors.New("head of the response too large")

// conn is a connection to the upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// raw is nil if the connection is no socket.
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// kept says that it carried a request before, heads that one of its requests
	// had the method HEAD.
	kept, heads bool
	expires     time.Time
	// head is what may still be read of a head, negative outside of heads.
	head int
	// wrote says that a part of the current request may have been written, failed
	// that a write failed.
	wrote, failed atomic.Bool
	// writing is held during a write.
	writing sync.Mutex
	dropped sync.Once
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	if socket, ok := inner.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	c.reader, c.writer = bufio.NewReaderSize(c, bufferBytes), bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Read implements net.Conn with a limit for heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.head == 0 {
		return 0, errHead
	}
	if c.head > 0 {
		p = p[:min(len(p), c.head)]
	}
	n, err := c.Conn.Read(p)
	if c.head > 0 {
		c.head -= n
	}
	return n, err
}

// Write implements net.Conn and notes whether the upstream may have got
// something.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	first := !c.wrote.Swap(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
		if first && n == 0 {
			c.wrote.Store(false)
		}
	}
	return n, err
}

// untouched reports whether nothing of the request was written. The connection
// is closed, so that a write under way ends and none follows.
func (c *conn) untouched() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return !c.wrote.Load()
}

// copyBytes is the size of the reads of a streamed body.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// ReadFrom implements io.ReaderFrom. The bufio.Writer would wait until its
// buffer is full.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
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

// halfClose tells the upstream that no more is written.
func (c *conn) halfClose() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.CloseWrite()
	}
}
