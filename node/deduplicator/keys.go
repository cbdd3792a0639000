package deduplicator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
	"sycamorerun/node/queuer"
)

// record is the record of an idempotency key. It is certain once the request has
// been answered.
type record struct {
	fingerprint uint64
	running     bool
	certain     bool
	hasResponse bool
	response    []byte
}

// keys holds the records of idempotency keys. An expired record is replaced by a
// tombstone, the hash of its key, so that a late retry of the request is reported
// as uncertain and does not run.
type keys struct {
	records        map[string]*record
	finished       queuer.Queue[string]
	responseBytes  int
	responses      queuer.Queue[string]
	tombstones     map[uint64]struct{}
	tombstoneOrder queuer.Queue[uint64]
	// earlyEviction is the last time at which a record was replaced by its
	// tombstone before its TTL, to make room.
	earlyEviction time.Time
}

func newKeys() keys {
	return keys{records: map[string]*record{}, tombstones: map[uint64]struct{}{}}
}

// check returns the decision for a key and reports whether the key is known.
func (k *keys) check(key Key) (sycamorerun.Decision, bool) {
	known, ok := k.records[key.Name]
	if !ok {
		_, expired := k.tombstones[xxhash.Sum64String(key.Name)]
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonResponseDropped}, expired
	}
	switch {
	case known.fingerprint != key.Fingerprint:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictMismatch, Reason: ReasonUncertain}, true
	case known.running:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonRunning}, true
	case !known.certain:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonUncertain}, true
	case !known.hasResponse:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonResponseDropped}, true
	default:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRecorded, Reason: ReasonRecorded, Response: known.response}, true
	}
}

func (k *keys) start(key Key) {
	k.records[key.Name] = &record{fingerprint: key.Fingerprint, running: true}
}

// finish records the result of a request. If the request did not run, its key can
// be used again.
func (k *keys) finish(now time.Time, key Key, result Result) {
	known, ok := k.records[key.Name]
	if !ok || !known.running {
		return
	}
	if result.Result == sycamorerun.NotRun {
		delete(k.records, key.Name)
		return
	}
	known.running = false
	known.certain = result.Result == sycamorerun.Answered
	if known.certain && result.Response != nil {
		known.hasResponse, known.response = true, result.Response
		k.responseBytes += len(result.Response)
		k.responses.Push(now, key.Name)
	}
	k.finished.Push(now, key.Name)
}

func (k *keys) expire(now time.Time, limits Limits) {
	for k.finished.Exceeds(now, limits.Keys, limits.KeyTTL) {
		if k.finished.Age(now) < limits.KeyTTL {
			k.earlyEviction = now
		}
		k.replaceByTombstone(now, k.finished.Oldest())
		k.finished.Drop()
	}
	for k.responseBytes > limits.Bytes {
		k.dropResponse(k.responses.Oldest())
		k.responses.Drop()
	}
	for k.responses.Len() > 0 && !k.hasResponse(k.responses.Oldest()) {
		k.responses.Drop()
	}
	for k.tombstoneOrder.Len() > 0 && (k.tombstoneOrder.Len() > limits.Tombstones && k.tombstoneExpired(now, limits) ||
		k.tombstoneOrder.Age(now) >= limits.TombstoneTTL) {
		delete(k.tombstones, k.tombstoneOrder.Oldest())
		k.tombstoneOrder.Drop()
	}
}

// replaceByTombstone deletes the record of a key and keeps its hash.
func (k *keys) replaceByTombstone(now time.Time, name string) {
	k.dropResponse(name)
	delete(k.records, name)
	hash := xxhash.Sum64String(name)
	if _, ok := k.tombstones[hash]; !ok {
		k.tombstones[hash] = struct{}{}
		k.tombstoneOrder.Push(now, hash)
	}
}

// hasResponse reports whether the response for a key is recorded.
func (k *keys) hasResponse(name string) bool {
	known, ok := k.records[name]
	return ok && known.hasResponse
}

// dropResponse deletes the recorded response for a key.
func (k *keys) dropResponse(name string) {
	if known, ok := k.records[name]; ok && known.hasResponse {
		k.responseBytes -= len(known.response)
		known.hasResponse, known.response = false, nil
	}
}

// tombstoneExpired reports whether the oldest tombstone is older than
// Limits.KeyTTL and may be dropped to make room.
func (k *keys) tombstoneExpired(now time.Time, limits Limits) bool {
	return k.tombstoneOrder.Age(now) >= limits.KeyTTL
}

// full reports whether there is no room for another key. New keys are refused
// then, since a request could run again if its tombstone were dropped too early.
func (k *keys) full(now time.Time, limits Limits) bool {
	return len(k.records) >= limits.Keys && k.tombstoneOrder.Len() >= limits.Tombstones && !k.tombstoneExpired(now, limits)
}

// record returns the record of a key for transfer to another process.
func (k *keys) record(name string) Record {
	known := k.records[name]
	return Record{
		Key: Key{Name: name, Fingerprint: known.fingerprint}, Certain: known.certain, Kept: known.hasResponse, Response: known.response,
	}
}

// merge adds a record received from another process. An existing record is
// updated only if it is uncertain and its request is not running here.
func (k *keys) merge(now time.Time, in Record) {
	known, ok := k.records[in.Key.Name]
	if ok && (known.running || known.certain) {
		return
	}
	if !ok {
		known = &record{fingerprint: in.Key.Fingerprint}
		k.records[in.Key.Name] = known
		k.finished.Push(now, in.Key.Name)
	}
	known.certain = in.Certain
	if in.Certain && in.Kept {
		known.hasResponse, known.response = true, in.Response
		k.responseBytes += len(in.Response)
		k.responses.Push(now, in.Key.Name)
	}
}
