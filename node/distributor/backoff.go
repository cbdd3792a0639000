package distributor

import "time"

// backoff returns a full-jitter delay: uniform between zero and a limit that
// doubles with each failure. Random is uniform in [0, 1).
func backoff(failures int, minDelay, maxDelay time.Duration, random float64) time.Duration {
	limit := minDelay
	for range min(failures-1, 30) {
		if limit >= maxDelay {
			break
		}
		limit *= 2
	}
	return time.Duration(random * float64(min(limit, maxDelay)))
}
