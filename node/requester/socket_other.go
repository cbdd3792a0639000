//go:build !linux

package requester

import (
	"syscall"
	"time"
)

func bound(_, _ string, _ syscall.RawConn) error { return nil }

func confirm(syscall.RawConn, time.Duration) {}

// finished reports that it is not known that the upstream closed the connection.
func finished(syscall.RawConn) bool { return false }
