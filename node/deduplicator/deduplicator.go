// Package deduplicator ensures that a request with an idempotency key runs at most once.
// It records the outcome of each key, and transfers the records when the owner of a key
// changes.
package deduplicator

import (
	"sync"
	"time"

	"sycamorerun"
)

// Reasons for a decision.
const (
	ReasonNotOwner        = "key-elsewhere"
	ReasonRunning         = "key-running"
	ReasonRecorded        = "key-recorded"
	ReasonResponseDropped = "key-response-gone"
	ReasonUncertain       = "key-uncertain"
	ReasonMoved           = "key-moved"
	ReasonFull            = "keys-full"
)

// Key is an idempotency key with its scope. Fingerprint identifies the request
// that the key was first used for. The zero Key means that a call has none.
type Key struct {
	Name        string
	Fingerprint uint64
}

// Result is how a call ended.
type Result struct {
	Result sycamorerun.Result
	// Response is the encoded response, or nil if it is too large to keep.
	Response []byte
}

// Limits bounds the number, size and age of records.
type Limits struct {
	// Keys is the maximum number of records of keys whose request has ended, KeyTTL
	// the time for which they are kept.
	Keys   int
	KeyTTL time.Duration
	// Bytes is the maximum total size of the recorded responses.
	Bytes int
	// Tombstones is the maximum number of keys of which only the hash is kept, for
	// TombstoneTTL. A call with such a key is uncertain. New keys are refused while
	// there is no room and all tombstones are younger than KeyTTL.
	Tombstones   int
	TombstoneTTL time.Duration
}

// Defaults are the limits for one upstream.
var Defaults = Limits{
	Keys: 16 << 10, KeyTTL: 10 * time.Minute, Bytes: 8 << 20,
	Tombstones: 128 << 10, TombstoneTTL: 24 * time.Hour,
}

// Deduplicator holds the records of keys of one node.
type Deduplicator struct {
	// Self is the name of this node's instance, Boot the random id of this
	// process.
	Self string
	Boot int64
	// HistoryComplete is set if each call with a key that ran before this process
	// started or joined is known here or to a current member. Otherwise another
	// member, or an earlier process beside this upstream, may have run it, and
	// unknown keys are uncertain for Limits.KeyTTL.
	HistoryComplete bool

	mutex  sync.Mutex
	limits Limits
	// recordsSince is the time since which all calls with keys are on record here.
	recordsSince time.Time
	keys         keys
	membership   membership
	// resultRecipients maps each key that was transferred while its request was
	// running to its new owner. Once the request has ended, the entry moves to
	// results, and to unsentResults if its result can't be sent. The results
	// themselves are in the records of the keys, whose limits thus bound them.
	resultRecipients, results, unsentResults map[string]Member
	// wake signals that there are unreconciled members, resultsReady that there are
	// results to send.
	wake, resultsReady chan struct{}
}

// New returns an empty deduplicator for a process that started at now.
func New(now time.Time, limits Limits) *Deduplicator {
	return &Deduplicator{
		limits: limits, recordsSince: now,
		keys: newKeys(), membership: newMembership(),
		resultRecipients: map[string]Member{}, results: map[string]Member{}, unsentResults: map[string]Member{},
		wake: make(chan struct{}, 1), resultsReady: make(chan struct{}, 1),
	}
}

// StartClean completes a join without grants. It is for a fleet in which no call
// with a key can have run yet.
func (d *Deduplicator) StartClean() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.HistoryComplete = true
	d.membership.left, d.membership.joining, d.membership.joined = false, false, true
	clear(d.membership.unreconciled)
	d.membership.membersKnown, d.membership.past, d.membership.uncertainUntil = false, nil, time.Time{}
}

// Begin decides whether a call may run, and records its key as running if so. A call
// with a key runs only if no earlier one with the same key may have run.
func (d *Deduplicator) Begin(now time.Time, key Key) sycamorerun.Decision {
	if key.Name == "" {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	decision := d.checkKey(now, key)
	if decision.Verdict == sycamorerun.VerdictRun {
		d.keys.start(key)
	}
	return decision
}

// checkKey decides whether a call with a key may run. Ownership and membership
// changes are only considered for keys without a record here, since for those
// another member may hold the record.
func (d *Deduplicator) checkKey(now time.Time, key Key) sycamorerun.Decision {
	if decision, known := d.keys.check(key); known {
		return decision
	}
	if !d.owns(now, key.Name) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonNotOwner}
	}
	if d.mayHaveRunElsewhere(now, key.Name) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonMoved}
	}
	if d.keys.full(now, d.limits) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonFull}
	}
	return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
}

// Finish records the result of a call that Begin allowed to run.
func (d *Deduplicator) Finish(now time.Time, key Key, result Result) {
	if key.Name == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keys.finish(now, key, result)
	d.queueResult(key.Name)
	d.expire(now)
}

func (d *Deduplicator) expire(now time.Time) { d.keys.expire(now, d.limits) }
