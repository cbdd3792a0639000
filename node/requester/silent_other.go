//go:build !unix

package requester

import "syscall"

// silent reports that no connection can be used again, since that can't be
// found out here.
func silent(syscall.RawConn) bool { return false }
