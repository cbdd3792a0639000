//go:build !unix

package requester

import "syscall"

// reusable always returns false, since the state of a connection can't be
// found out here.
func reusable(syscall.RawConn) bool { return false }
