// Package caller is the callers of a fleet in an open loop: each request
// starts when it is due, whatever became of the earlier ones, and its latency
// counts from that time. Each attempt has an id of its own in header and body,
// so that the upstreams' journals show what ran.
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorerun"
)

const (
	// slowest is the largest latency that is recorded, precision the number of
	// significant digits.
	slowest   = 10 * time.Minute
	precision = 3
	// idleConnections is kept to each node.
	idleConnections = 512
	// patience is how long callers wait beyond the limit of an attempt, so that a
	// late response shows as late. limitless applies where there is no limit.
	patience  = 5 * time.Second
	limitless = 4 * time.Second
	// pause is the time to the next attempt where no response states one.
	pause = 50 * time.Millisecond
)

// Generator is the callers. Set the fields before Run.
type Generator struct {
	// Name precedes the ids of the requests. Callers of one experiment need
	// different ones if their kinds have the same names.
	Name    string
	Entries []Entry
	Kinds   []Kind
	Bursts  []Burst
	// Seed fixes all choices.
	Seed uint64

	client  *http.Client
	mutex   sync.Mutex
	records []Record
	stalls  []Stall
}

// Run sends requests for a duration or until ctx ends, and waits for the last
// one to end. A second run of the same callers would have the same ids.
func (c *Generator) Run(ctx context.Context, duration time.Duration) error {
	if err := c.verify(); err != nil {
		return err
	}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer c.client.CloseIdleConnections()
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	var watch sync.WaitGroup
	watch.Go(func() { c.watch(watching) })
	defer watch.Wait()
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for number, kind := range c.Kinds {
		group.Go(func() {
			entries := c.entries(kind)
			for next := range c.schedule(number, duration) {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(start.Add(next.due))):
				}
				group.Go(func() { c.request(ctx, kind, entries, next, start.Add(next.due)) })
			}
		})
	}
	return nil
}

// Records returns the requests that have ended.
func (c *Generator) Records() []Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.records[:len(c.records):len(c.records)]
}

// request makes the attempts of one request. The end of ctx does not end it.
func (c *Generator) request(ctx context.Context, kind Kind, entries []Entry, next request, due time.Time) {
	record := Record{ID: next.id, Kind: kind.Name, Zone: entries[next.entry].Zone, AtMostOnce: kind.AtMostOnce, Objective: kind.Objective, Start: due}
	ctx = context.WithoutCancel(ctx)
	for n := range 1 + kind.Retries {
		entry := entries[next.entry]
		if kind.RotateNodes {
			entry = entries[(next.entry+n)%len(entries)]
		}
		attempt, after := c.try(ctx, kind, entry, &record, n, next.leave)
		record.Attempts = append(record.Attempts, attempt)
		if !again(kind, attempt) || n == kind.Retries {
			break
		}
		if !next.hasty {
			time.Sleep(after)
		}
	}
	record.End = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record)
}

// again reports whether a caller may try once more after an attempt.
func again(kind Kind, attempt Attempt) bool {
	switch {
	case attempt.Disconnected || attempt.Answered():
		return false
	case attempt.Status >= http.StatusBadRequest && attempt.Status < http.StatusInternalServerError:
		return notRunStatuses[attempt.Status] // Others are not to be repeated unchanged.
	case attempt.Result == sycamorerun.NotRun:
		return true
	}
	return !kind.AtMostOnce || kind.Key
}

// Summary counts the requests of a kind.
type Summary struct {
	Kind string
	// Requests have ended, Served were answered whole, InTime within the kind's
	// objective (all served ones if it has none).
	Requests, Served, InTime int
	// Latency has the served requests in microseconds.
	Latency *hdrhistogram.Histogram
}

// Summarize returns a summary for each kind, from the requests that were due
// from one time up to another.
func (c *Generator) Summarize(from, to time.Time) []Summary {
	summaries := make([]Summary, len(c.Kinds))
	index := map[string]int{}
	for i, kind := range c.Kinds {
		summaries[i] = Summary{Kind: kind.Name, Latency: hdrhistogram.New(1, slowest.Microseconds(), precision)}
		index[kind.Name] = i
	}
	for _, record := range c.Records() {
		if !record.Start.Before(from) && record.Start.Before(to) {
			summaries[index[record.Kind]].add(record)
		}
	}
	return summaries
}

func (s *Summary) add(record Record) {
	s.Requests++
	if !record.Served() {
		return
	}
	s.Served++
	if record.Objective == 0 || record.Latency() <= record.Objective {
		s.InTime++
	}
	// A latency above the histogram's range can't occur within the limits.
	_ = s.Latency.RecordValue(max(1, record.Latency().Microseconds()))
}
