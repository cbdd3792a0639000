//go:build !linux

package requester

import (
	"syscall"
	"time"
)

func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }

func setUserTimeout(syscall.RawConn, time.Duration) {}

// receivedFIN always returns false, since the TCP state is not available on this
// platform.
func receivedFIN(syscall.RawConn) bool { return false }
