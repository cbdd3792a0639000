package connector

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpiOptTimestamps is TCPI_OPT_TIMESTAMPS from linux/tcp.h.
const tcpiOptTimestamps = 1

func readTCPStats(raw syscall.RawConn) (tcpStats, bool) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return tcpStats{}, false
	}
	return tcpStats{
		info.Segs_in, info.Segs_out, info.Options&tcpiOptTimestamps != 0,
		info.Unacked > 0, time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}
