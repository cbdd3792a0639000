package requester

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultIdle is how long a connection is kept if the upstream states nothing.
const defaultIdle = 90 * time.Second

// idle returns how long a connection may wait for its next request. Less than
// the upstream states, since a request that crosses the close of a connection
// may or may not have run.
func idle(header http.Header) time.Duration {
	limit := defaultIdle
	for _, line := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(part, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			if seconds, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31); err == nil {
				stated := time.Duration(seconds) * time.Second
				limit = min(limit, stated-max(500*time.Millisecond, stated/5))
			}
		}
	}
	return max(0, limit)
}
