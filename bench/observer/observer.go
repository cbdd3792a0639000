// Package observer records from the logs of processes when each version of the
// settings was applied.
package observer

import (
	"bytes"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"
)

// AppliedMessage is the message that a node logs when it has applied a version.
const AppliedMessage = "configuration applied"

// Observer records when each process applied each version.
type Observer struct {
	mutex   sync.Mutex
	applied map[uint64]map[string]time.Time
	highest map[string]uint64
	// regressions lists the processes that applied an older version after a newer one.
	regressions []string
}

// New returns an empty Observer.
func New() *Observer {
	return &Observer{applied: map[uint64]map[string]time.Time{}, highest: map[string]uint64{}}
}

// HandleLine handles one logfmt line of a process and ignores other messages.
func (o *Observer) HandleLine(process, line string) {
	var message, timestamp, version string
	decoder := logfmt.NewDecoder(bytes.NewBufferString(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			switch string(decoder.Key()) {
			case "msg":
				message = string(decoder.Value())
			case "ts":
				timestamp = string(decoder.Value())
			case "version":
				version = string(decoder.Value())
			}
		}
	}
	if message != AppliedMessage {
		return
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return
	}
	o.add(process, number, at)
}

func (o *Observer) add(process string, version uint64, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if version < o.highest[process] {
		o.regressions = append(o.regressions, process)
	}
	// A node that catches up from a snapshot has applied every version up to it.
	for v := o.highest[process] + 1; v <= version; v++ {
		if o.applied[v] == nil {
			o.applied[v] = map[string]time.Time{}
		}
		// A restarted process applies the versions again; the first time counts.
		if _, known := o.applied[v][process]; !known {
			o.applied[v][process] = at
		}
	}
	o.highest[process] = max(o.highest[process], version)
}

// Forget resets the highest version of a process. It must be called before the
// process is restarted, since that may apply older versions again.
func (o *Observer) Forget(process string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.highest, process)
}

// Count returns the number of processes that have applied version.
func (o *Observer) Count(version uint64) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.applied[version])
}

// Regressions returns the processes that applied an older version after a newer
// one.
func (o *Observer) Regressions() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]string{}, o.regressions...)
}

// Times returns when each process applied a version for the first time.
func (o *Observer) Times(version uint64) map[string]time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return maps.Clone(o.applied[version])
}

// Delays returns for each process how long after the first process it applied
// version. The delay of the first process is 0.
func (o *Observer) Delays(version uint64) []time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var first time.Time
	for _, at := range o.applied[version] {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var delays []time.Duration
	for _, at := range o.applied[version] {
		delays = append(delays, at.Sub(first))
	}
	return delays
}
