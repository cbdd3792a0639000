package connector

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Lengths of headers without options, and of the TCP timestamp option, which
// segments carry if both ends have negotiated it.
const (
	ipv4HeaderBytes      = 20
	ipv6HeaderBytes      = 40
	tcpHeaderBytes       = 20
	timestampOptionBytes = 12
)

// tcpStats holds the kernel's statistics of a connection. The segment counts
// include pure acknowledgements and retransmissions, and wrap around.
type tcpStats struct {
	in, out    uint32
	timestamps bool
	// unacknowledged is set if the peer's TCP stack has not acknowledged all sent
	// data. sinceAck is the time since its last acknowledgement.
	unacknowledged bool
	sinceAck       time.Duration
}

// segmentCounter counts the TCP segments of a connection. The zero value counts
// nothing.
type segmentCounter struct {
	raw syscall.RawConn
	// ipHeaderBytes is the length of the IP header.
	ipHeaderBytes int64

	mu   sync.Mutex
	last tcpStats
}

func newSegmentCounter(conn net.Conn) *segmentCounter {
	s := &segmentCounter{ipHeaderBytes: ipv6HeaderBytes}
	if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok && remote.IP.To4() != nil {
		s.ipHeaderBytes = ipv4HeaderBytes
	}
	if c, ok := conn.(syscall.Conn); ok {
		// SyscallConn fails only on a closed connection, whose segments are not
		// counted.
		s.raw, _ = c.SyscallConn()
	}
	return s
}

// acknowledging reports whether the peer's TCP stack is still taking sent data:
// some data is unacknowledged, and an acknowledgement arrived within the given
// time.
func (s *segmentCounter) acknowledging(within time.Duration) bool {
	if s.raw == nil {
		return false
	}
	now, ok := readTCPStats(s.raw)
	return ok && now.unacknowledged && now.sinceAck < within
}

// delta returns the number of segments since the last call and the total length
// of their headers.
func (s *segmentCounter) delta() (in, out, inBytes, outBytes int64) {
	if s.raw == nil {
		return 0, 0, 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, ok := readTCPStats(s.raw)
	if !ok {
		return 0, 0, 0, 0
	}
	in, out = int64(now.in-s.last.in), int64(now.out-s.last.out)
	s.last = now
	header := s.ipHeaderBytes + tcpHeaderBytes
	if now.timestamps {
		header += timestampOptionBytes
	}
	return in, out, in * header, out * header
}
