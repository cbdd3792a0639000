package requester

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlSocket sets the user timeout of a new connection.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	setUserTimeout(raw, userTimeout)
	return nil
}

// setUserTimeout limits how long written data may stay unacknowledged. Zero
// means the default of the operating system.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		// An error is ignored: a dead connection is only detected later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// tcpCloseWait is TCP_CLOSE_WAIT of linux/tcp_states.h.
const tcpCloseWait = 8

// receivedFIN reports whether the upstream closed the connection without a
// reset.
func receivedFIN(raw syscall.RawConn) bool {
	clean := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		clean = err == nil && info.State == tcpCloseWait
	})
	return err == nil && clean
}
