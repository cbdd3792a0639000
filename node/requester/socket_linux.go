package requester

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bound sets the limits of a new connection.
func bound(_, _ string, raw syscall.RawConn) error {
	confirm(raw, userTimeout)
	return nil
}

// confirm bounds the time for which the upstream's system confirms nothing;
// zero leaves that to the system.
func confirm(raw syscall.RawConn, limit time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		// Without it a silent connection only lives longer.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

// closeWait is TCP_CLOSE_WAIT of linux/tcp_states.h.
const closeWait = 8

// finished reports whether the upstream closed the connection and did not reset
// it.
func finished(raw syscall.RawConn) bool {
	clean := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		clean = err == nil && info.State == closeWait
	})
	return err == nil && clean
}
