//go:build unix

package requester

import "syscall"

// reusable reports whether a connection is open and has no unread data.
func reusable(raw syscall.RawConn) bool {
	idle := false
	err := raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		// Sockets of package net are non-blocking.
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK)
		for err == syscall.EINTR {
			_, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK)
		}
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
