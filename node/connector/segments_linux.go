package connector

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// optionTimestamps is TCPI_OPT_TIMESTAMPS of linux/tcp.h.
const optionTimestamps = 1

func readSegments(raw syscall.RawConn) (segments, bool) {
	var info *unix.TCPInfo
	var failed error
	err := raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failed != nil {
		return segments{}, false
	}
	return segments{
		info.Segs_in, info.Segs_out, info.Options&optionTimestamps != 0,
		info.Unacked > 0, time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}
