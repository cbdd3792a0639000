// Package recorder keeps the departures of the upstream beside the node in the object
// store, where the next process of the node finds them. A node has no disk, and an
// announcement from before a departure can arrive after the node's restart.
package recorder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/persister"
)

// Prefix is the key prefix of the records. Each node has one.
const Prefix = "departure/"

const (
	// minRetry and maxRetry bound the delay after a failed store call. The delay has
	// full jitter, since all nodes may start at the same time.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// checkInterval is the time between two checks for departures that are not
	// stored, because a call failed when they were confirmed or because the sender
	// no longer waits for the confirmation.
	checkInterval = time.Second
	// callTimeout bounds one try to store them, firstReadTimeout the first try to read
	// the record.
	callTimeout      = 2 * time.Second
	firstReadTimeout = 500 * time.Millisecond
)

// Recorder stores the departures of one node. Set the exported fields before Run or
// Save.
type Recorder struct {
	Node  string
	Store persister.Store
	// Departures returns the departures to store, at most announcer.MaxDepartures.
	Departures func(now time.Time) []sycamorerun.Departure
	// Restore is called with the departures in the record each time it is read: when
	// the node starts, and after a failed write.
	Restore func(now time.Time, departures []sycamorerun.Departure)
	// Unreachable is called when the record can't be read.
	Unreachable func()
	// IsMaintainer reports whether this node removes old records of its fleet.
	IsMaintainer func() bool
	Now          func() time.Time
	Logger       log.Logger
	Scope        tally.Scope

	// busy holds one element while a goroutine accesses the fields below.
	busy chan struct{}
	// loaded is set if stored and revision are those of the record in the store.
	loaded   bool
	stored   []sycamorerun.Departure
	revision persister.Revision
	// failedReads counts the tries to read the record that failed.
	failedReads int
}

// New returns a Recorder for a node.
func New(node string, store persister.Store) *Recorder {
	return &Recorder{Node: node, Store: store, Now: time.Now, busy: make(chan struct{}, 1)}
}

// Run reads the record, then stores departures whose confirmation failed, until ctx
// ends.
func (r *Recorder) Run(ctx context.Context) error {
	lastClean := r.Now()
	for failures := 0; ctx.Err() == nil; sleep(ctx, delay(failures)) {
		if err := r.try(ctx); err != nil {
			failures++
			continue
		}
		failures = 0
		if now := r.Now(); now.Sub(lastClean) >= cleanInterval {
			lastClean = now
			r.clean(ctx, now)
		}
	}
	return nil
}

// Save returns once all departures that this process knows are stored. It tries until
// ctx ends.
func (r *Recorder) Save(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := r.try(ctx)
		if err == nil {
			return nil
		}
		if !sleep(ctx, delay(failures)) {
			r.Scope.Counter("failures").Inc(1)
			return errors.Wrap(err, "store the departures")
		}
	}
}

// try reads the record if that is necessary, and writes it if it lacks a departure.
func (r *Recorder) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case r.busy <- struct{}{}:
		defer func() { <-r.busy }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	departures := r.Departures(r.Now())
	if !slices.ContainsFunc(departures, r.lacks) {
		return nil
	}
	return r.write(ctx, departures)
}

// lacks reports whether the record lacks a departure. An id whose boot is unknown can
// leave again later.
func (r *Recorder) lacks(d sycamorerun.Departure) bool {
	return !slices.ContainsFunc(r.stored, func(s sycamorerun.Departure) bool {
		return s.ID == d.ID && s.Boot == d.Boot && s.Deleted == d.Deleted && (d.Boot != 0 || !s.At.Before(d.At.Truncate(time.Millisecond)))
	})
}

func (r *Recorder) load(ctx context.Context) error {
	object, err := r.read(ctx)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		r.failedReads++
		r.Unreachable()
		return err
	}
	var stored []sycamorerun.Departure
	if err == nil {
		if stored, err = decode(object.Value); err != nil {
			// The next departure replaces what another writer left.
			level.Warn(r.Logger).Log("msg", "ignoring an unreadable record of departures", "key", object.Key, "err", err)
		}
	}
	r.stored, r.revision, r.loaded = stored, object.Revision, true
	r.Restore(r.Now(), stored)
	return nil
}

// read reads the record. The first try is short, since the upstream waits for its end
// if the store is silent when the node starts.
func (r *Recorder) read(ctx context.Context) (persister.Object, error) {
	if r.failedReads == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstReadTimeout)
		defer cancel()
	}
	return r.Store.Get(ctx, Prefix+r.Node)
}

// write stores departures. After a failure the record has to be read again, since the
// write may have taken effect or another process of this node may have written.
func (r *Recorder) write(ctx context.Context, departures []sycamorerun.Departure) error {
	value, err := encode(departures)
	if err != nil {
		return err
	}
	revision, err := r.Store.Put(ctx, Prefix+r.Node, value, r.revision)
	if err != nil {
		r.loaded = false
		return err
	}
	r.stored, r.revision = departures, revision
	r.Scope.Counter("writes").Inc(1)
	return nil
}

// delay returns the time until the next try after a number of failures in a row.
func delay(failures int) time.Duration {
	if failures == 0 {
		return checkInterval
	}
	return rand.N(min(minRetry<<min(failures, 8), maxRetry))
}

// sleep waits and reports whether ctx has not ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
