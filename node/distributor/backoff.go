package distributor

import "time"

// backoff returns a full-jitter delay: uniform between zero and a limit that
// doubles with each failure. Random is uniform in [0, 1).
func backoff(failures int, least, most time.Duration, random float64) time.Duration {
	limit := least
	for range min(failures-1, 30) {
		if limit >= most {
			break
		}
		limit *= 2
	}
	return time.Duration(random * float64(min(limit, most)))
}
