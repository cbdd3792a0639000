package requester

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultIdleTimeout applies if the upstream advertises no timeout.
const defaultIdleTimeout = 90 * time.Second

// idleTimeout returns how long a connection may stay idle. It is shorter than
// the Keep-Alive timeout that the upstream advertises: a request sent while the
// upstream closes the connection may or may not be executed.
func idleTimeout(header http.Header) time.Duration {
	timeout := defaultIdleTimeout
	for _, line := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(part, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			if seconds, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31); err == nil {
				advertised := time.Duration(seconds) * time.Second
				timeout = min(timeout, advertised-max(500*time.Millisecond, advertised/5))
			}
		}
	}
	return max(0, timeout)
}
