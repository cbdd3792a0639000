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
	// leaveAfter is the time under load before the drain, leaveWait that after
	// it.
	leaveAfter = time.Second
	leaveWait  = 5 * time.Second
	// leaveWork is what the upstreams take for a call, so that some are in
	// flight at any moment.
	leaveWork = 20 * time.Millisecond
	// leaveTimeout is beyond the time limits of leaveSettings.
	leaveTimeout = 30 * time.Second
)

// leaveSettings have a queue and time limits that hold what waits while a busy
// machine stops processes for a second. What is refused or lost then is due to
// the leave and not to the machine: with the queue of settings, a load average
// of 46 to 58 had up to 229 of 1,200 calls refused as queue-full. With one
// attempt, a call that an upstream or its node lost is not hidden by another.
const leaveSettings = `team: quoting
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

// Leave is what an upstream that leaves under load recorded.
type Leave struct {
	Way string
	// Before and After are the requests that started before the drain began
	// and after it.
	Before, After int
	// Last is the time from the beginning of the drain to the last new request.
	Last time.Duration
	// Failed counts the calls at other nodes that were not answered, of Calls.
	Failed, Calls int
	// Results counts the calls at other nodes by what the callers were told.
	Results map[sycamorerun.Result]int
	// Reasons counts those that were not answered by the reason that was given.
	Reasons map[string]int
}

// leaves are the ways in which an upstream leaves.
var leaves = []struct {
	name  string
	leave func(ctx context.Context, node *deployer.Node) error
}{
	{"upstream drains", func(ctx context.Context, node *deployer.Node) error {
		return deployer.Put(ctx, node.Control, "/behavior", map[string]any{"state": "draining"})
	}},
	{"node stops (SIGTERM)", func(_ context.Context, node *deployer.Node) error {
		return node.Process.Signal(syscall.SIGTERM)
	}},
}

// Departures measures how long an upstream that leaves gets new requests, by its
// own records. Every second zone has none of the service, so that calls come
// from other zones too.
func Departures(ctx context.Context, c Case) ([]Leave, error) {
	var results []Leave
	for _, way := range leaves {
		result, err := c.leave(ctx, way.leave)
		if err != nil {
			return nil, errors.Wrap(err, way.name)
		}
		result.Way = way.name
		results = append(results, result)
	}
	return results, nil
}

func (c Case) leave(ctx context.Context, leave func(context.Context, *deployer.Node) error) (Leave, error) {
	fleet, err := c.deploy(ctx, deployer.Spec{
		Zones: deployer.Today(1), Services: []string{"quote-desk", "other"}, Relays: true,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		UpstreamArgs: []string{"--work", leaveWork.String(), "--slots", "64"},
	}, leaveSettings)
	if err != nil {
		return Leave{}, err
	}
	defer fleet.Stop()
	leaving := fleet.Nodes[2]
	var targets []generator.Target
	for _, node := range fleet.Nodes {
		if node != leaving {
			target := through(node, c.Rate/float64(len(fleet.Nodes)-1))
			target.Timeout = leaveTimeout
			targets = append(targets, target)
		}
	}
	// Calls spread over the members that the nodes know at the beginning.
	generator.Run(ctx, targets, warmUp)
	done := make(chan []*generator.Result, 1)
	go func() { done <- generator.Run(ctx, targets, leaveAfter+leaveWait) }()
	time.Sleep(leaveAfter)
	before, err := records(ctx, leaving)
	if err != nil {
		return Leave{}, err
	}
	at := time.Now()
	if err := leave(ctx, leaving); err != nil {
		return Leave{}, err
	}
	results := <-done
	after, err := records(ctx, leaving)
	if err != nil {
		return Leave{}, err
	}
	result := Leave{Before: before.Requests, After: after.Requests - before.Requests, Last: max(0, after.Last.Sub(at)), Results: map[sycamorerun.Result]int{}, Reasons: map[string]int{}}
	for _, r := range results {
		for told, count := range r.Results {
			result.Results[told] += count
		}
		for reason, count := range r.Reasons {
			result.Reasons[reason] += count
		}
		result.Calls += r.Calls()
		result.Failed += r.Calls() - r.Results[sycamorerun.Answered]
	}
	return result, nil
}

// records reads what the upstream beside a node recorded.
func records(ctx context.Context, node *deployer.Node) (recorder.Records, error) {
	var found recorder.Records
	_, body, err := deployer.Get(ctx, node.Control, "/records")
	if err != nil {
		return found, err
	}
	return found, errors.Wrap(json.Unmarshal(body, &found), "records")
}

// WriteLeaves writes a table.
func WriteLeaves(w io.Writer, leaves []Leave) {
	fmt.Fprintln(w, "| leaving | requests before | new requests after the drain began | last of them after ms | calls at other nodes not answered |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, l := range leaves {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d of %d |\n", l.Way, l.Before, l.After, l.Last.Milliseconds(), l.Failed, l.Calls)
	}
}
