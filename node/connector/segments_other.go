//go:build !linux

package connector

import "syscall"

func readSegments(syscall.RawConn) (segments, bool) { return segments{}, false }
