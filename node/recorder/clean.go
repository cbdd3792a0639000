package recorder

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
)

const (
	// cleanInterval is the time between two searches for records to remove.
	cleanInterval = 30 * time.Minute
	// expiry is the age of the newest departure at which a record is removed. It is
	// far above the time for which announcements can be late, since the clocks of
	// instances differ.
	expiry = time.Hour
)

// clean removes the records in which all departures are old. Instances that are gone
// leave theirs behind, and the store removes nothing by itself.
func (r *Recorder) clean(ctx context.Context, now time.Time) {
	if !r.IsMaintainer() {
		return
	}
	listing, err := r.Store.List(ctx, Prefix, 0)
	if err != nil {
		level.Debug(r.Logger).Log("msg", "listing the records of departures failed", "err", err)
		return
	}
	for _, object := range listing.Objects {
		departures, err := decode(object.Value)
		if err != nil || now.Sub(newest(departures)) < expiry {
			continue
		}
		if err := r.Store.Delete(ctx, object.Key, object.Revision); err != nil {
			level.Debug(r.Logger).Log("msg", "removing a record of departures failed", "key", object.Key, "err", err)
		}
	}
}

// newest returns the time of the newest departure.
func newest(departures []sycamorerun.Departure) time.Time {
	var at time.Time
	for _, d := range departures {
		if d.At.After(at) {
			at = d.At
		}
	}
	return at
}
