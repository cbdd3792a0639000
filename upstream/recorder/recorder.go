// Package recorder records the requests that an upstream executes, so that tests
// can check the system against the upstream's own records.
package recorder

import (
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Records is a snapshot of a Recorder.
type Records struct {
	// Requests counts the requests that started.
	Requests int `json:"requests"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Runs counts the executions of non-idempotent requests for each key.
	Runs map[string]int `json:"runs"`
	// Uploads lists the hex SHA-256 sums of the completely received uploads.
	Uploads []string `json:"uploads"`
	// Broken counts requests whose body ended prematurely.
	Broken int `json:"broken"`
	// Cancelled counts requests whose client disconnected or whose deadline passed
	// during the execution.
	Cancelled int `json:"cancelled"`
	// Expired counts requests that started after their deadline.
	Expired int `json:"expired"`
	// Shed counts rejected requests.
	Shed int `json:"shed"`
	// AfterDrain counts requests that started after the drain began.
	AfterDrain int `json:"after"`
	// LastAfterDrain is the time from the start of the drain to the last such
	// request.
	LastAfterDrain time.Duration `json:"last"`
	// Last is when the last request started.
	Last time.Time `json:"time"`
}

// Recorder collects Records. It is safe for concurrent use.
type Recorder struct {
	// Journal, if set, receives a line for each run and upload before the request
	// is answered, and the events. Set it before use.
	Journal io.Writer
	// Instance is the upstream's name in the journal's events.
	Instance string

	mutex      sync.Mutex
	records    Records
	drainStart time.Time
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{records: Records{Runs: map[string]int{}}}
}

// RecordStart records a request that started at now.
func (r *Recorder) RecordStart(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records.Requests++
	r.records.Last = now
	if !r.drainStart.IsZero() {
		r.records.AfterDrain++
		r.records.LastAfterDrain = now.Sub(r.drainStart)
	}
}

// RecordDrain records that the drain began at now. Only the first call counts.
func (r *Recorder) RecordDrain(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.drainStart.IsZero() {
		r.drainStart = now
	}
}

// RecordRun records one execution of the non-idempotent request with key.
func (r *Recorder) RecordRun(key string) {
	r.update(func(records *Records) {
		records.Runs[key]++
		r.writeLine(lineRun, key)
	})
}

// RecordUpload records a completely received upload with its SHA-256 sum.
func (r *Recorder) RecordUpload(sum string) {
	r.update(func(records *Records) {
		records.Uploads = append(records.Uploads, sum)
		r.writeLine(lineUpload, sum)
	})
}

// RecordBrokenUpload records a request whose body ended prematurely.
func (r *Recorder) RecordBrokenUpload() { r.update(func(records *Records) { records.Broken++ }) }

// RecordCancelled records a request whose client disconnected or whose deadline
// passed.
func (r *Recorder) RecordCancelled() { r.update(func(records *Records) { records.Cancelled++ }) }

// RecordExpired records a request that started after its deadline.
func (r *Recorder) RecordExpired() { r.update(func(records *Records) { records.Expired++ }) }

// RecordShed records a rejected request.
func (r *Recorder) RecordShed() { r.update(func(records *Records) { records.Shed++ }) }

// Records returns a copy of what was recorded.
func (r *Recorder) Records() Records {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := r.records
	records.Runs = maps.Clone(records.Runs)
	records.Uploads = slices.Clone(records.Uploads)
	return records
}

func (r *Recorder) update(change func(*Records)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.records)
}
