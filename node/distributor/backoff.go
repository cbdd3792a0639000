package distributor

import "time"

// backoff returns a delay with full jitter: uniformly distributed between zero
// and a limit that doubles with each failure, from minDelay up to maxDelay. Random
// is uniformly distributed in [0, 1).
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
