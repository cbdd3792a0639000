// Package generator sends identical calls to each of its targets in an open loop:
// each call starts at its scheduled time, whether or not earlier ones have ended,
// and its latency counts from that time, so that queueing delays are included.
// Calls are counted by result and not retried. For the varied requests of callers,
// with retries and a record of each attempt, see caller.Generator.
package generator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/upstream/server"
)

const (
	// maxLatency is the largest latency that the histograms record.
	maxLatency = time.Minute
	// significantDigits is the precision of the recorded latencies.
	significantDigits = 3
	// idleConnections is the number of idle connections kept to each target.
	idleConnections = 512
)

// Target describes the calls to one address.
type Target struct {
	Name    string
	Address netip.AddrPort
	Method  string
	Host    string
	Path    string
	Body    []byte
	// Rate is in calls per second.
	Rate float64
	// Timeout bounds each call.
	Timeout time.Duration
}

// Result has the counts and latencies of the calls to a target.
type Result struct {
	Target Target
	// Latency has the latencies of the answered calls in microseconds.
	Latency *hdrhistogram.Histogram
	// Results counts the calls by result. A response without the outcome header,
	// which comes from the upstream itself, is counted by its status.
	Results map[sycamorerun.Result]int
	// Reasons counts the calls that were not answered by the stated reason, which may
	// be empty.
	Reasons map[string]int
	// Upstreams counts the answered calls by the name of the upstream in the response.
	Upstreams map[string]int
	mutex     sync.Mutex
}

// Calls returns the number of calls that have ended.
func (r *Result) Calls() int {
	total := 0
	for _, count := range r.Results {
		total += count
	}
	return total
}

// Run sends calls to all targets concurrently for a duration and waits until the
// last one has ended.
func Run(ctx context.Context, targets []Target, duration time.Duration) []*Result {
	results := make([]*Result, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		results[i] = newResult(target)
		group.Go(func() { results[i].run(ctx, duration) })
	}
	group.Wait()
	return results
}

// RunSequential sends calls one after the other over one connection.
func RunSequential(ctx context.Context, target Target, calls int) *Result {
	result := newResult(target)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range calls {
		result.call(ctx, client, time.Now())
	}
	return result
}

func newResult(target Target) *Result {
	return &Result{
		Target: target, Results: map[sycamorerun.Result]int{}, Reasons: map[string]int{}, Upstreams: map[string]int{},
		Latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

func (r *Result) run(ctx context.Context, duration time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer client.CloseIdleConnections()
	interval := time.Duration(float64(time.Second) / r.Target.Rate)
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for due := start; due.Sub(start) < duration && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		group.Go(func() { r.call(ctx, client, due) })
	}
}

func (r *Result) call(ctx context.Context, client *http.Client, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.Target.Timeout)
	defer cancel()
	result, detail := send(ctx, client, r.Target)
	elapsed := time.Since(due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Results[result]++
	if result == sycamorerun.Answered {
		r.Upstreams[detail]++
		// The timeout keeps latencies within the histogram's range.
		_ = r.Latency.RecordValue(max(1, elapsed.Microseconds()))
	} else {
		r.Reasons[detail]++
	}
}

// send sends one call and returns its result with the name of the upstream that
// answered or the reason why none did.
func send(ctx context.Context, client *http.Client, target Target) (sycamorerun.Result, string) {
	request, err := http.NewRequestWithContext(ctx, target.Method, "http://"+target.Address.String()+target.Path, bytes.NewReader(target.Body))
	if err != nil {
		return sycamorerun.Unknown, ""
	}
	request.Host = target.Host
	response, err := client.Do(request)
	if err != nil {
		return sycamorerun.Unknown, cause(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return sycamorerun.Unknown, cause(err)
	}
	reason := response.Header.Get(sycamorerun.HeaderReason)
	if outcome := response.Header.Get(sycamorerun.HeaderOutcome); outcome != "" && response.StatusCode != http.StatusOK {
		if outcome == string(sycamorerun.Answered) {
			return sycamorerun.NotRun, "shed by the upstream"
		}
		return sycamorerun.Result(outcome), reason
	}
	if response.StatusCode != http.StatusOK {
		return sycamorerun.NotRun, response.Status
	}
	return sycamorerun.Answered, response.Header.Get(server.HeaderUpstream)
}

// cause returns the reason for an error of the HTTP client.
func cause(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}
