package retrier

import "time"

// buckets is the number of buckets of a window. One more holds the part of the
// window that the oldest bucket covers.
const buckets = 20

// window counts the calls and charges of a sliding window.
type window struct {
	calls   [buckets + 1]int
	charges [buckets + 1]int
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
		w.calls[w.newest%(buckets+1)], w.charges[w.newest%(buckets+1)] = 0, 0
	}
}

func (w *window) call(at int64) {
	w.move(at)
	w.calls[w.newest%(buckets+1)]++
}

func (w *window) charge(at int64) {
	w.move(at)
	w.charges[w.newest%(buckets+1)]++
}

// charged returns the charges of the window, with all of the oldest bucket.
func (w *window) charged(at int64) float64 {
	w.move(at)
	sum := 0
	for _, n := range w.charges {
		sum += n
	}
	return float64(sum)
}

// earned returns the calls that earn retries: those of the window without the
// oldest bucket, but at most twice those of its newer half. Retries that calls
// of long ago have earned would otherwise follow when there are no calls any
// more, and fill a window that has few calls.
func (w *window) earned(at int64) float64 {
	w.move(at)
	all, half := 0, 0
	for back := range int64(buckets) {
		n := w.calls[(w.newest+buckets+1-back)%(buckets+1)]
		all += n
		if back < buckets/2 {
			half += n
		}
	}
	return float64(min(all, 2*half))
}
