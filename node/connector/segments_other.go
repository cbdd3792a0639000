//go:build !linux

package connector

import "syscall"

func readTCPStats(syscall.RawConn) (tcpStats, bool) { return tcpStats{}, false }
