package deduplicator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// record is what is known of a key.
type record struct {
	print    uint64
	running  bool
	certain  bool
	kept     bool
	response []byte
}

// keys are the records of idempotency keys. A record that has reached its age
// leaves a trace, the hash of its key, so that a late repetition is answered
// as uncertain and does not run.
type keys struct {
	records  map[string]*record
	ended    queue[string]
	bytes    int
	kept     queue[string]
	traces   map[uint64]struct{}
	vanished queue[uint64]
	// faded is when a record was last shortened to its trace before its age.
	faded time.Time
}

func newKeys() keys {
	return keys{records: map[string]*record{}, traces: map[uint64]struct{}{}}
}

// check decides about a key and reports whether it is known.
func (k *keys) check(key Key) (sycamorerun.Decision, bool) {
	known, ok := k.records[key.Name]
	if !ok {
		_, traced := k.traces[xxhash.Sum64String(key.Name)]
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonForgotten}, traced
	}
	switch {
	case known.print != key.Fingerprint:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictMismatch, Reason: ReasonUncertain}, true
	case known.running:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonRunning}, true
	case !known.certain:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonUncertain}, true
	case !known.kept:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonForgotten}, true
	default:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRecorded, Reason: ReasonRecorded, Response: known.response}, true
	}
}

func (k *keys) start(key Key) {
	k.records[key.Name] = &record{print: key.Fingerprint, running: true}
}

// finish records the end. A key whose request did not run is free again.
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
		known.kept, known.response = true, result.Response
		k.bytes += len(result.Response)
		k.kept.push(now, key.Name)
	}
	k.ended.push(now, key.Name)
}

func (k *keys) expire(now time.Time, limits Limits) {
	for k.ended.length() > limits.Keys ||
		k.ended.length() > 0 && now.Sub(k.ended.oldest().at) >= limits.KeyTTL {
		if now.Sub(k.ended.oldest().at) < limits.KeyTTL {
			k.faded = now
		}
		k.fade(now, k.ended.oldest().item)
		k.ended.drop()
	}
	for k.bytes > limits.Bytes {
		k.release(k.kept.oldest().item)
		k.kept.drop()
	}
	for k.kept.length() > 0 && !k.holds(k.kept.oldest().item) {
		k.kept.drop()
	}
	for k.vanished.length() > 0 && (k.vanished.length() > limits.Traces && k.aged(now, limits) ||
		now.Sub(k.vanished.oldest().at) >= limits.Reach) {
		delete(k.traces, k.vanished.oldest().item)
		k.vanished.drop()
	}
}

// fade replaces a record by its trace.
func (k *keys) fade(now time.Time, name string) {
	k.release(name)
	delete(k.records, name)
	hash := xxhash.Sum64String(name)
	if _, ok := k.traces[hash]; !ok {
		k.traces[hash] = struct{}{}
		k.vanished.push(now, hash)
	}
}

// holds reports whether the response of a key is recorded.
func (k *keys) holds(name string) bool {
	known, ok := k.records[name]
	return ok && known.kept
}

// release drops the recorded response of a key.
func (k *keys) release(name string) {
	if known, ok := k.records[name]; ok && known.kept {
		k.bytes -= len(known.response)
		known.kept, known.response = false, nil
	}
}

// aged reports whether the oldest trace is no longer needed: its key is older
// than Limits.KeyTTL.
func (k *keys) aged(now time.Time, limits Limits) bool {
	return now.Sub(k.vanished.oldest().at) >= limits.KeyTTL
}

// full reports whether there is no room for another key. Dropping a trace
// before its age would let its request run again, so new keys are refused.
func (k *keys) full(now time.Time, limits Limits) bool {
	return len(k.records) >= limits.Keys && k.vanished.length() >= limits.Traces && !k.aged(now, limits)
}

// record returns what another process is told of a key.
func (k *keys) record(name string) Record {
	known := k.records[name]
	return Record{
		Key: Key{Name: name, Fingerprint: known.print}, Certain: known.certain, Kept: known.kept, Response: known.response,
	}
}

// take adds the record of another process, or ends an uncertain one.
func (k *keys) take(now time.Time, in Record) {
	known, ok := k.records[in.Key.Name]
	if ok && (known.running || known.certain) {
		return
	}
	if !ok {
		known = &record{print: in.Key.Fingerprint}
		k.records[in.Key.Name] = known
		k.ended.push(now, in.Key.Name)
	}
	known.certain = in.Certain
	if in.Certain && in.Kept {
		known.kept, known.response = true, in.Response
		k.bytes += len(in.Response)
		k.kept.push(now, in.Key.Name)
	}
}
