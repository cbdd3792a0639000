package retrier

import "time"

// buckets is the number of buckets per window. One more bucket is kept, since the
// window covers only part of the oldest one.
const buckets = 20

// window counts retries in a sliding window.
type window struct {
	counts [buckets + 1]int
	// newest is the number of the newest bucket, counted from the origin.
	newest int64
}

// bucketNumber returns the number of the bucket at now. The origin is the first now
// of a retrier, so that the numbers do not depend on the wall clock.
func (r *Retrier) bucketNumber(now time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = now
	}
	return int64(now.Sub(r.origin) / max(1, r.Budget.Window/buckets))
}

// advance makes at the newest bucket and clears the buckets that leave the window.
func (w *window) advance(at int64) {
	if at-w.newest > buckets {
		*w = window{newest: at}
	}
	for w.newest < at {
		w.newest++
		w.counts[w.newest%(buckets+1)] = 0
	}
}

func (w *window) add(at int64) {
	w.advance(at)
	w.counts[w.newest%(buckets+1)]++
}

// sum returns the number of retries in the window at bucket at, including the whole
// oldest bucket.
func (w *window) sum(at int64) int {
	w.advance(at)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
