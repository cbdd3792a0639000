package retrier

import "time"

// buckets is the number of buckets of a window. One more holds the part of the
// window that the oldest bucket covers.
const buckets = 20

// window counts charges in a sliding window.
type window struct {
	counts [buckets + 1]int
	// newest is the number of the newest bucket.
	newest int64
}

// bucket returns the number of the bucket at now. The first now of a retrier is
// the origin, which keeps it independent of the wall clock.
func (r *Retrier) bucket(now time.Time) int64 {
	if r.base.IsZero() {
		r.base = now
	}
	return int64(now.Sub(r.base) / max(1, r.Budget.Window/buckets))
}

// move drops the buckets that are older than the window at bucket at.
func (w *window) move(at int64) {
	if at-w.newest > buckets {
		*w = window{newest: at}
	}
	for w.newest < at {
		w.newest++
		w.counts[w.newest%(buckets+1)] = 0
	}
}

func (w *window) add(at int64) {
	w.move(at)
	w.counts[w.newest%(buckets+1)]++
}

// sum returns the charges of the window, with all of the oldest bucket.
func (w *window) sum(at int64) int {
	w.move(at)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
