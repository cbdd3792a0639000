//go:build !unix

package requester

import "syscall"

// reusable always returns false, since the state of a connection is not available
// on this platform.
func reusable(syscall.RawConn) bool { return false }
