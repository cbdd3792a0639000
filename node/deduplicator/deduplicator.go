// Package deduplicator keeps the records that make a request run at most once:
// which calls started, which were refused, and what became of each idempotency
// key.
package deduplicator

import (
	"sync"
	"time"

	"sycamorerun"
)

// Reasons of a decision.
const (
	ReasonRefused   = "refused"
	ReasonDuplicate = "duplicate"
	ReasonOwner     = "key-elsewhere"
	ReasonRunning   = "key-running"
	ReasonRecorded  = "key-recorded"
	ReasonForgotten = "key-response-gone"
	ReasonUncertain = "key-uncertain"
	ReasonMoved     = "key-moved"
	ReasonFull      = "keys-full"
)

// Key is an idempotency key with its scope. Fingerprint identifies the request that
// it stands for. The zero key means none.
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

// State is what is known of a call.
type State string

// States of a call.
const (
	StateRefused  State = "refused"
	StateStarted  State = "started"
	StateFinished State = "finished"
	// StateUnknown means that the call's record may have been dropped.
	StateUnknown State = "unknown"
)

// Limits bound the records.
type Limits struct {
	// Calls is the number of finished calls on record, CallAge the time for
	// which they stay.
	Calls   int
	CallAge time.Duration
	// Refusals is the number of refusals on record. A refusal stays for KeyTTL.
	Refusals int
	// Keys is the number of keys on record with their state, for KeyTTL.
	Keys   int
	KeyTTL time.Duration
	// Bytes is the size of all recorded responses together.
	Bytes int
	// Traces is the number of keys of which only the hash is still known, for
	// Reach. They are answered as uncertain. When all are younger than KeyTTL, new
	// keys are refused.
	Traces int
	Reach  time.Duration
}

// Defaults are limits for one upstream. At 320 calls/s, its share of 3.1 M
// calls/s over 9,800 upstreams, a minute of calls is 19,200 records.
var Defaults = Limits{
	Calls: 32 << 10, CallAge: time.Minute, Refusals: 16 << 10,
	Keys: 16 << 10, KeyTTL: 10 * time.Minute, Bytes: 8 << 20,
	Traces: 128 << 10, Reach: 24 * time.Hour,
}

// Deduplicator holds the records of one node.
type Deduplicator struct {
	// Self is the name of this node's instance, Boot the random id
	// of this process.
	Self string
	Boot int64
	// HistoryComplete says that no call with a key can have been served before this
	// process began. Otherwise another member, or an earlier process beside this
	// upstream, may have run it, and unknown keys are uncertain for Limits.KeyTTL.
	HistoryComplete bool

	mutex  sync.Mutex
	limits Limits
	began  time.Time
	calls  calls
	keys   keys
	moves  moves
	// debts are the members that got the keys of requests that still run, owed
	// the records that they have to get since these ended.
	debts map[string]Member
	owed  map[Member][]Record
	// wake signals that there are strangers, or records that are owed.
	wake chan struct{}
}

// New returns an empty deduplicator of a process that began at now.
func New(now time.Time, limits Limits) *Deduplicator {
	return &Deduplicator{
		limits: limits, began: now,
		calls: newCalls(now), keys: newKeys(), moves: newMoves(),
		debts: map[string]Member{}, owed: map[Member][]Record{},
		wake: make(chan struct{}, 1),
	}
}

// StartClean ends a join in a fleet in which no call with a key can have run.
func (d *Deduplicator) StartClean() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.HistoryComplete = true
	d.moves.left, d.moves.joining, d.moves.joined = false, false, true
	clear(d.moves.strangers)
	d.moves.known, d.moves.past, d.moves.blind = false, nil, time.Time{}
}

// Begin claims the execution of the call id, and of the key if there is one.
func (d *Deduplicator) Begin(now time.Time, id string, key Key) sycamorerun.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	if decision := d.calls.check(id); decision.Verdict != sycamorerun.VerdictRun {
		return decision
	}
	if key.Name != "" {
		if decision := d.checkKey(now, key); decision.Verdict != sycamorerun.VerdictRun {
			return decision
		}
		d.keys.start(key)
	}
	d.calls.start(id)
	return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
}

// checkKey decides about a call with a key. A known key outranks a change of
// the members, which only matters for what this node can't know.
func (d *Deduplicator) checkKey(now time.Time, key Key) sycamorerun.Decision {
	if decision, known := d.keys.check(key); known {
		return decision
	}
	if !d.owns(now, key.Name) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonOwner}
	}
	if d.moved(now, key.Name) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonMoved}
	}
	if d.keys.full(now, d.limits) {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonFull}
	}
	return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
}

// Finish records the end of a call that Begin let run.
func (d *Deduplicator) Finish(now time.Time, id string, key Key, result Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.calls.finish(now, id, result.Result)
	if key.Name != "" {
		d.keys.finish(now, key, result)
		d.settle(key.Name)
	}
	d.expire(now)
}

// Refuse returns the state of a call that was opened at most age ago. A call
// that was not seen is refused: if it arrives later, Begin turns it away.
func (d *Deduplicator) Refuse(now time.Time, id string, age time.Duration) State {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	return d.calls.refuse(now, id, age, d.limits.Refusals)
}

func (d *Deduplicator) expire(now time.Time) {
	d.calls.expire(now, d.limits)
	d.keys.expire(now, d.limits)
}
