// Package recorder keeps what an upstream ran, so that tests can judge the
// system by the upstream's own records.
package recorder

import (
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Records is a copy of what was recorded.
type Records struct {
	// Requests counts the requests that started.
	Requests int `json:"requests"`
	// Running is the number of requests that have not ended.
	Running int `json:"running"`
	// Runs counts completed non-idempotent requests for each key.
	Runs map[string]int `json:"runs"`
	// Uploads are the hex SHA-256 sums of uploads that arrived whole.
	Uploads []string `json:"uploads"`
	// Broken counts uploads that ended before their end mark.
	Broken int `json:"broken"`
	// Cancelled counts requests whose client went away.
	Cancelled int `json:"cancelled"`
	// Expired counts requests that started after their deadline.
	Expired int `json:"expired"`
	// Shed counts requests that were refused.
	Shed int `json:"shed"`
	// AfterDrain counts requests that started after the drain began.
	AfterDrain int `json:"after"`
	// LastAfterDrain is the time from the drain to the last such request.
	LastAfterDrain time.Duration `json:"last"`
	// Last is when the last request started.
	Last time.Time `json:"time"`
}

// Recorder collects Records. It is safe for concurrent use.
type Recorder struct {
	// Journal, if set before use, gets a line for each run and upload before the
	// request is answered.
	Journal io.Writer
	// Instance is the upstream's name in the journal's events.
	Instance string

	mutex   sync.Mutex
	records Records
	drained time.Time
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{records: Records{Runs: map[string]int{}}}
}

// Start records a request that started at now.
func (r *Recorder) Start(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records.Requests++
	r.records.Last = now
	if !r.drained.IsZero() {
		r.records.AfterDrain++
		r.records.LastAfterDrain = now.Sub(r.drained)
	}
}

// Drain records that the drain began at now.
func (r *Recorder) Drain(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.drained.IsZero() {
		r.drained = now
	}
}

// RecordRun records one execution of the non-idempotent request with key.
func (r *Recorder) RecordRun(key string) {
	r.update(func(records *Records) {
		records.Runs[key]++
		r.note(lineRun, key)
	})
}

// Upload records a whole upload.
func (r *Recorder) Upload(sum string) {
	r.update(func(records *Records) {
		records.Uploads = append(records.Uploads, sum)
		r.note(lineUpload, sum)
	})
}

// Break records an upload that was cut.
func (r *Recorder) Break() { r.update(func(records *Records) { records.Broken++ }) }

// Cancel records a request whose client went away.
func (r *Recorder) Cancel() { r.update(func(records *Records) { records.Cancelled++ }) }

// Expire records a request that started after its deadline.
func (r *Recorder) Expire() { r.update(func(records *Records) { records.Expired++ }) }

// Shed records a refused request.
func (r *Recorder) Shed() { r.update(func(records *Records) { records.Shed++ }) }

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
