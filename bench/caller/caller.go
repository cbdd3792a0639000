// Package caller generates the load of a fleet's callers in an open loop: each
// request is sent when it is due, whether or not earlier ones have ended, and its
// latency counts from that time. Each attempt carries its own id in the header and
// the body, so that the journals of the upstreams show which attempts were
// executed. Package generator, in contrast, sends identical calls without retries
// and only counts their results.
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
	// maxLatency is the largest latency that the histograms record.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// idleConnections is the number of idle connections kept to each node.
	idleConnections = 512
	// responseGrace is how long callers wait beyond the limit of an attempt, so that
	// a late response is recorded as late. defaultWait applies to attempts without a
	// limit.
	responseGrace = 5 * time.Second
	defaultWait   = 4 * time.Second
	// defaultRetryDelay is the delay of a retry where no response states one.
	defaultRetryDelay = 50 * time.Millisecond
)

// Generator sends the requests of all callers, with their retries, and records
// each attempt. Set the fields before Run.
type Generator struct {
	// Name is the prefix of the request ids. Generators of one experiment need
	// different names if their kinds have the same names.
	Name    string
	Entries []Entry
	Kinds   []Kind
	Bursts  []Burst
	// Seed makes the schedule reproducible.
	Seed uint64

	client  *http.Client
	mutex   sync.Mutex
	records []Record
	stalls  []Stall
}

// Run sends requests for a duration or until ctx ends, and waits until the last
// one has ended. It must be called once only, since a second run would use the
// same ids.
func (c *Generator) Run(ctx context.Context, duration time.Duration) error {
	if err := c.verify(); err != nil {
		return err
	}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer c.client.CloseIdleConnections()
	stallCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var detector sync.WaitGroup
	detector.Go(func() { c.detectStalls(stallCtx) })
	defer detector.Wait()
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for number, kind := range c.Kinds {
		group.Go(func() {
			entries := c.entries(kind)
			for planned := range c.schedule(number, duration) {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(start.Add(planned.due))):
				}
				group.Go(func() { c.sendRequest(ctx, kind, entries, planned, start.Add(planned.due)) })
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

// sendRequest sends a request and its retries. The end of ctx does not end it.
func (c *Generator) sendRequest(ctx context.Context, kind Kind, entries []Entry, planned plannedRequest, due time.Time) {
	record := Record{ID: planned.id, Kind: kind.Name, Zone: entries[planned.entry].Zone, AtMostOnce: kind.AtMostOnce, Objective: kind.Objective, Start: due}
	ctx = context.WithoutCancel(ctx)
	for n := range 1 + kind.Retries {
		entry := entries[planned.entry]
		if kind.RotateNodes {
			entry = entries[(planned.entry+n)%len(entries)]
		}
		attempt, retryDelay := c.sendAttempt(ctx, kind, entry, &record, n, planned.disconnectAfter)
		record.Attempts = append(record.Attempts, attempt)
		if !mayRetry(kind, attempt) || n == kind.Retries {
			break
		}
		if !planned.immediateRetry {
			time.Sleep(retryDelay)
		}
	}
	record.End = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record)
}

// mayRetry reports whether a caller may send another attempt after this one.
func mayRetry(kind Kind, attempt Attempt) bool {
	switch {
	case attempt.Disconnected || attempt.Answered():
		return false
	case attempt.Status >= http.StatusBadRequest && attempt.Status < http.StatusInternalServerError:
		return notRunStatuses[attempt.Status] // Other client errors would only repeat.
	case attempt.Result == sycamorerun.NotRun:
		return true
	}
	return !kind.AtMostOnce || kind.Key
}

// Summary has the counts and latencies of the requests of a kind.
type Summary struct {
	Kind string
	// Requests counts the requests that ended, Served those that got a complete
	// response, and InTime those served within the kind's objective, or all served
	// ones if the kind has none.
	Requests, Served, InTime int
	// Latency has the latencies of the served requests in microseconds.
	Latency *hdrhistogram.Histogram
}

// Summarize returns a summary for each kind over the requests that were due at
// or after from and before to.
func (c *Generator) Summarize(from, to time.Time) []Summary {
	summaries := make([]Summary, len(c.Kinds))
	index := map[string]int{}
	for i, kind := range c.Kinds {
		summaries[i] = Summary{Kind: kind.Name, Latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
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
	// The limits of the attempts keep latencies within the histogram's range.
	_ = s.Latency.RecordValue(max(1, record.Latency().Microseconds()))
}
