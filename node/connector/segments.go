package connector

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Bytes of headers without options, and of the timestamp option, which a
// segment carries when both ends have agreed on it.
const (
	ipv4Bytes      = 20
	ipv6Bytes      = 40
	tcpBytes       = 20
	timestampBytes = 12
)

// segments is what the kernel has counted for a connection, acknowledgements
// without data and retransmissions included. The counts wrap around.
type segments struct {
	in, out    uint32
	timestamps bool
	// pending says that the peer's system has not acknowledged all that was sent,
	// acknowledged is the time since its last acknowledgement.
	pending      bool
	acknowledged time.Duration
}

// segmentCounter follows the segments of a connection. The zero value counts nothing.
type segmentCounter struct {
	raw syscall.RawConn
	// ip is the length of the IP header.
	ip int64

	mu   sync.Mutex
	last segments
}

func newSegmentCounter(conn net.Conn) *segmentCounter {
	m := &segmentCounter{ip: ipv6Bytes}
	if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok && remote.IP.To4() != nil {
		m.ip = ipv4Bytes
	}
	if c, ok := conn.(syscall.Conn); ok {
		// Fails on a closed connection only; nothing is counted then.
		m.raw, _ = c.SyscallConn()
	}
	return m
}

// acknowledges reports whether the peer's system still takes what was sent: some
// of it is not acknowledged yet, some was within the given time.
func (m *segmentCounter) acknowledges(within time.Duration) bool {
	if m.raw == nil {
		return false
	}
	now, ok := readSegments(m.raw)
	return ok && now.pending && now.acknowledged < within
}

// advance returns the segments since the last call and their headers' bytes.
func (m *segmentCounter) advance() (in, out, inBytes, outBytes int64) {
	if m.raw == nil {
		return 0, 0, 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, ok := readSegments(m.raw)
	if !ok {
		return 0, 0, 0, 0
	}
	in, out = int64(now.in-m.last.in), int64(now.out-m.last.out)
	m.last = now
	header := m.ip + tcpBytes
	if now.timestamps {
		header += timestampBytes
	}
	return in, out, in * header, out * header
}
