package stresser

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/generator"
	"sycamorerun/upstream/recorder"
)

const (
	// departureDelay is the time under load before the departure, departureWait
	// the time under load after it.
	departureDelay = time.Second
	departureWait  = 5 * time.Second
	// departureWork is the execution time of a call at the upstreams, which keeps
	// some calls in flight at any time.
	departureWork = 20 * time.Millisecond
	// departureTimeout exceeds the timeouts in departureSettings.
	departureTimeout = 30 * time.Second
)

// departureSettings have a queue and timeouts that tolerate a busy machine
// stopping processes for a second, so that refused or lost calls are caused by
// the departure. With the queue of serviceSettings, a busy machine causes calls to
// be refused as queue-full. A single attempt keeps a retry from hiding a call that
// an upstream or its node lost.
const departureSettings = `team: quoting
services:
  quote-desk: {slots: 6, queue: 1024, connections: 130, timeout: 20s, idle: 20s, warmup: 0s}
routes:
  quotes:
    hosts: [quotes.example]
    prefix: /
    class: interactive
    attempts: 1
    split: [{service: quote-desk, weight: 100}]
`

// Departure is the result of an upstream's departure under load.
type Departure struct {
	// Way is the way in which the upstream departed.
	Way string
	// Before and After are the numbers of requests that the upstream started
	// before and after the departure began.
	Before, After int
	// Last is the time from the beginning of the departure to the last new
	// request.
	Last time.Duration
	// Calls is the number of calls at other nodes, Failed the number of those that
	// were not answered.
	Failed, Calls int
	// Results counts the calls at other nodes by result.
	Results map[sycamorerun.Result]int
	// Reasons counts the calls that were not answered, by reason.
	Reasons map[string]int
}

// departureTriggers are the ways in which an upstream departs.
var departureTriggers = []struct {
	name  string
	start func(ctx context.Context, node *deployer.Node) error
}{
	{"upstream drains", func(ctx context.Context, node *deployer.Node) error {
		return deployer.Put(ctx, node.Control, "/behavior", map[string]any{"state": "draining"})
	}},
	{"node stops (SIGTERM)", func(_ context.Context, node *deployer.Node) error {
		return node.Process.Signal(syscall.SIGTERM)
	}},
}

// Departures measures how long a departing upstream receives new requests,
// according to its own records. Every second zone has no upstream of the service,
// so that some calls come from other zones.
func Departures(ctx context.Context, c Case) ([]Departure, error) {
	var results []Departure
	for _, trigger := range departureTriggers {
		result, err := c.measureDeparture(ctx, trigger.start)
		if err != nil {
			return nil, errors.Wrap(err, trigger.name)
		}
		result.Way = trigger.name
		results = append(results, result)
	}
	return results, nil
}

func (c Case) measureDeparture(ctx context.Context, triggerDeparture func(context.Context, *deployer.Node) error) (Departure, error) {
	fleet, err := c.deploy(ctx, deployer.Spec{
		Zones: deployer.ReferenceZones(1), Services: []string{"quote-desk", "other"}, Relays: true,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		UpstreamArgs: []string{"--work", departureWork.String(), "--slots", "64"},
	}, departureSettings)
	if err != nil {
		return Departure{}, err
	}
	defer fleet.Stop()
	departing := fleet.Nodes[2]
	var targets []generator.Target
	for _, node := range fleet.Nodes {
		if node != departing {
			target := nodeTarget(node, c.Rate/float64(len(fleet.Nodes)-1))
			target.Timeout = departureTimeout
			targets = append(targets, target)
		}
	}
	// Warm-up: at first, calls are distributed only over the members that the
	// nodes already know.
	generator.Run(ctx, targets, warmUpDuration)
	done := make(chan []*generator.Result, 1)
	go func() { done <- generator.Run(ctx, targets, departureDelay+departureWait) }()
	time.Sleep(departureDelay)
	before, err := readRecords(ctx, departing)
	if err != nil {
		return Departure{}, err
	}
	departedAt := time.Now()
	if err := triggerDeparture(ctx, departing); err != nil {
		return Departure{}, err
	}
	results := <-done
	after, err := readRecords(ctx, departing)
	if err != nil {
		return Departure{}, err
	}
	result := Departure{Before: before.Requests, After: after.Requests - before.Requests, Last: max(0, after.Last.Sub(departedAt)), Results: map[sycamorerun.Result]int{}, Reasons: map[string]int{}}
	for _, r := range results {
		for outcome, count := range r.Results {
			result.Results[outcome] += count
		}
		for reason, count := range r.Reasons {
			result.Reasons[reason] += count
		}
		result.Calls += r.Calls()
		result.Failed += r.Calls() - r.Results[sycamorerun.Answered]
	}
	return result, nil
}

// readRecords returns the records of a node's upstream.
func readRecords(ctx context.Context, node *deployer.Node) (recorder.Records, error) {
	var found recorder.Records
	_, body, err := deployer.Get(ctx, node.Control, "/records")
	if err != nil {
		return found, err
	}
	return found, errors.Wrap(json.Unmarshal(body, &found), "decode the records of the upstream")
}

// WriteDepartures writes a table of departures.
func WriteDepartures(w io.Writer, departures []Departure) {
	fmt.Fprintln(w, "| leaving | requests before | new requests after the drain began | last of them after ms | calls at other nodes not answered |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, d := range departures {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d of %d |\n", d.Way, d.Before, d.After, d.Last.Milliseconds(), d.Failed, d.Calls)
	}
}
