//go:build unix

package requester

import "syscall"

// silent reports whether a connection is open and has nothing to read.
func silent(raw syscall.RawConn) bool {
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		// Sockets of package net do not block.
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK)
		for err == syscall.EINTR {
			_, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK)
		}
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
