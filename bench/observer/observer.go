// Package observer follows the versions that processes log as applied.
package observer

import (
	"bytes"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"
)

// AppliedMessage is the event that a node logs when a version is in force.
const AppliedMessage = "configuration applied"

// Observer collects when each process applied each version.
type Observer struct {
	mutex   sync.Mutex
	applied map[uint64]map[string]time.Time
	highest map[string]uint64
	// Backward lists processes that went back to an older version.
	backward []string
}

// New returns an empty Observer.
func New() *Observer {
	return &Observer{applied: map[uint64]map[string]time.Time{}, highest: map[string]uint64{}}
}

// HandleLine reads one key=value line of a process; other lines are passed over.
func (o *Observer) HandleLine(process, line string) {
	var message, stamp, version string
	decoder := logfmt.NewDecoder(bytes.NewBufferString(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			switch string(decoder.Key()) {
			case "msg":
				message = string(decoder.Value())
			case "ts":
				stamp = string(decoder.Value())
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
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return
	}
	o.add(process, number, at)
}

func (o *Observer) add(process string, version uint64, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if version < o.highest[process] {
		o.backward = append(o.backward, process)
	}
	// A node that catches up from a snapshot has every version up to it.
	for passed := o.highest[process] + 1; passed <= version; passed++ {
		if o.applied[passed] == nil {
			o.applied[passed] = map[string]time.Time{}
		}
		// A process that starts again applies what it had before.
		if _, known := o.applied[passed][process]; !known {
			o.applied[passed][process] = at
		}
	}
	o.highest[process] = max(o.highest[process], version)
}

// Forget drops what a process applied, before it starts again.
func (o *Observer) Forget(process string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.highest, process)
}

// Count returns how many processes have applied version.
func (o *Observer) Count(version uint64) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.applied[version])
}

// Regressions returns the processes that went back to an older version.
func (o *Observer) Regressions() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]string{}, o.backward...)
}

// Times returns when each process applied a version for the first time.
func (o *Observer) Times(version uint64) map[string]time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return maps.Clone(o.applied[version])
}

// Delays returns, for a version, how long after its first application each
// other process applied it.
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
