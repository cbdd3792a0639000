// Package generator sends calls in an open loop: each call starts at its
// scheduled time whatever became of the earlier ones, and its latency counts
// from that time, so that waiting is not hidden.
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
	// slowest is the largest latency that is recorded.
	slowest = time.Minute
	// precision is the number of significant digits of a latency.
	precision = 3
	// idleConnections is kept to each target.
	idleConnections = 512
)

// Target is where a share of the calls goes.
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

// Result is what a target's calls showed.
type Result struct {
	Target Target
	// Latency has the answered calls in microseconds.
	Latency *hdrhistogram.Histogram
	// Results counts the calls by what the caller was told; an answer without
	// the header, as from an upstream itself, counts by its status.
	Results map[sycamorerun.Result]int
	// Reasons counts the other calls by the reason that the caller was given, if
	// any.
	Reasons map[string]int
	// Upstreams counts the answered calls by the upstream that names itself.
	Upstreams map[string]int
	mutex     sync.Mutex
}

// Calls is the number of calls sent.
func (r *Result) Calls() int {
	total := 0
	for _, count := range r.Results {
		total += count
	}
	return total
}

// Run sends calls to all targets at once for a duration and waits for the
// last one to end.
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
		Latency: hdrhistogram.New(1, slowest.Microseconds(), precision),
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
	took := time.Since(due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Results[result]++
	if result == sycamorerun.Answered {
		r.Upstreams[detail]++
		// A latency above the histogram's range can't occur within the timeout.
		_ = r.Latency.RecordValue(max(1, took.Microseconds()))
	} else {
		r.Reasons[detail]++
	}
}

// send returns what the caller is told about one call, and which upstream
// answered, or why none did.
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
	if told := response.Header.Get(sycamorerun.HeaderOutcome); told != "" && response.StatusCode != http.StatusOK {
		if told == string(sycamorerun.Answered) {
			return sycamorerun.NotRun, "shed by the upstream"
		}
		return sycamorerun.Result(told), reason
	}
	if response.StatusCode != http.StatusOK {
		return sycamorerun.NotRun, response.Status
	}
	return sycamorerun.Answered, response.Header.Get(server.HeaderUpstream)
}

// cause says why a caller was given no reason.
func cause(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}
