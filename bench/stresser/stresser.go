// Package stresser measures the data path on a fleet of real processes: added
// latency, resource costs, load balancing, and behavior under overload and when
// upstreams depart.
package stresser

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/generator"
)

// serviceSettings are the settings of the measured service. Its queue and slots
// match current deployments.
const serviceSettings = `team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 1s, warmup: 0s}
routes:
  quotes:
    hosts: [quotes.example]
    prefix: /
    class: interactive
    split: [{service: quote-desk, weight: 100}]
  pulls:
    hosts: [pulls.example]
    prefix: /
    class: background
    split: [{service: quote-desk, weight: 100}]
`

const (
	readyTimeout   = 20 * time.Second
	warmUpDuration = 2 * time.Second
	callTimeout    = 5 * time.Second
)

// Case holds the parameters of a measurement.
type Case struct {
	Binaries  string
	Directory string
	// Rate is the number of calls per second: to each target in Latency, and over
	// all nodes in Departures.
	Rate     float64
	Duration time.Duration
	// Work is the execution time of a call at the upstream, in Overload and
	// Balancing.
	Work time.Duration
}

// start deploys two nodes in one availability zone. The upstream of the first
// node belongs to the measured service, the upstream of the second node to another
// service.
func (c Case) start(ctx context.Context, upstreamArgs ...string) (*deployer.Fleet, error) {
	return c.deploy(ctx, deployer.Spec{
		Zones:    []deployer.Zone{{Name: "kigali-1", Region: "kigali", Nodes: 2}},
		Services: []string{"quote-desk", "other"}, NodeArgs: []string{"--drain-delay", "0s"},
		UpstreamArgs: upstreamArgs,
	}, serviceSettings)
}

// deploy starts a fleet and waits until the settings are in force.
func (c Case) deploy(ctx context.Context, spec deployer.Spec, text string) (*deployer.Fleet, error) {
	var err error
	if spec.Directory, err = os.MkdirTemp(c.Directory, "fleet"); err != nil {
		return nil, errors.Wrap(err, "create the fleet directory")
	}
	spec.Binaries, spec.Upstreams = c.Binaries, true
	fleet, err := deployer.New(spec)
	if err != nil {
		return nil, err
	}
	if err := prepare(ctx, fleet, text); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func prepare(ctx context.Context, fleet *deployer.Fleet, text string) error {
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	if err := fleet.DeclareTeams(ctx, map[string]string{"quoting": "flow"}); err != nil {
		return err
	}
	outcome, err := fleet.Apply(ctx, "quoting", "quoting", text, fleet.Nodes[0])
	if err != nil {
		return err
	}
	if outcome.Status != "accepted" {
		return errors.Errorf("settings not accepted: status %s, faults %+v", outcome.Status, outcome.Faults)
	}
	probes := wayTargets(fleet, 10)[:1]
	for _, node := range fleet.Nodes {
		probes = append(probes, nodeTarget(node, 10))
	}
	return deployer.Eventually(ctx, readyTimeout, func() bool {
		for _, result := range generator.Run(ctx, probes, 100*time.Millisecond) {
			if result.Results[sycamorerun.Answered] != result.Calls() {
				return false
			}
		}
		return true
	})
}

// wayTargets returns the targets for direct calls, calls through the upstream's
// own node and calls through another node.
func wayTargets(fleet *deployer.Fleet, rate float64) []generator.Target {
	local, remote := nodeTarget(fleet.Nodes[0], rate), nodeTarget(fleet.Nodes[1], rate)
	direct := local
	direct.Name, direct.Address = "direct", fleet.Nodes[0].Upstream
	local.Name, remote.Name = "node beside the upstream", "another node"
	return []generator.Target{direct, local, remote}
}

// nodeTarget returns the target for calls that enter the mesh at a node.
func nodeTarget(node *deployer.Node, rate float64) generator.Target {
	return generator.Target{
		Name: node.Name, Address: node.Callers, Method: http.MethodGet, Host: "quotes.example", Path: "/quotes/1",
		Rate: rate, Timeout: callTimeout,
	}
}

// Latency compares the latency of the three ways to an upstream in the same run
// and writes a table.
func Latency(ctx context.Context, c Case, w io.Writer) error {
	fleet, err := c.start(ctx, "--slots", "64")
	if err != nil {
		return err
	}
	defer fleet.Stop()
	generator.Run(ctx, wayTargets(fleet, c.Rate), warmUpDuration)
	before, err := processorTime(fleet)
	if err != nil {
		return err
	}
	results := generator.Run(ctx, wayTargets(fleet, c.Rate), c.Duration)
	after, err := processorTime(fleet)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "| way | calls/s | answered | median µs | p99 µs | p99.9 µs | worst µs | added median µs | added p99 µs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	direct := results[0].Latency
	for _, r := range results {
		l := r.Latency
		fmt.Fprintf(w, "| %s | %.0f | %d of %d | %d | %d | %d | %d | %d | %d |\n",
			r.Target.Name, c.Rate, r.Results[sycamorerun.Answered], r.Calls(),
			l.ValueAtQuantile(50), l.ValueAtQuantile(99), l.ValueAtQuantile(99.9), l.Max(),
			l.ValueAtQuantile(50)-direct.ValueAtQuantile(50), l.ValueAtQuantile(99)-direct.ValueAtQuantile(99))
	}
	nodeCalls := float64(results[1].Calls() + results[2].Calls())
	fmt.Fprintf(w, "\nProcessor time of both nodes together: %.0f µs a call through a node.\n", float64((after-before).Microseconds())/nodeCalls)
	return nil
}

// processorTime returns the total processor time that all nodes have used.
func processorTime(fleet *deployer.Fleet) (time.Duration, error) {
	var total time.Duration
	for _, node := range fleet.Nodes {
		usage, err := node.Process.Usage()
		if err != nil {
			return 0, err
		}
		total += usage.CPU
	}
	return total, nil
}

// Overload generates load at multiples of the upstream's capacity, through a node
// and directly, and writes a table of the answered calls.
func Overload(ctx context.Context, c Case, w io.Writer) error {
	fmt.Fprintln(w, "| way | offered of capacity | class | offered/s | answered/s | median ms | p99 ms | not-run/s | unknown/s |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	const slots = 6
	capacity := slots / c.Work.Seconds()
	for _, factor := range []float64{0.8, 2, 5} {
		for _, way := range []string{"node", "direct"} {
			if err := c.measureOverload(ctx, w, way, factor, capacity); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureOverload measures and writes two rows of the table: half of the calls
// are interactive, half are background.
func (c Case) measureOverload(ctx context.Context, w io.Writer, way string, factor, capacity float64) error {
	fleet, err := c.start(ctx, "--work", c.Work.String(), "--slots", "6")
	if err != nil {
		return err
	}
	defer fleet.Stop()
	all := wayTargets(fleet, factor*capacity/2)
	target := all[2]
	if way == "direct" {
		target = all[0]
	}
	interactive, background := target, target
	interactive.Name, background.Name, background.Host = "interactive", "background", "pulls.example"
	for _, r := range generator.Run(ctx, []generator.Target{interactive, background}, c.Duration) {
		seconds := c.Duration.Seconds()
		fmt.Fprintf(w, "| %s | %.1f | %s | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f |\n",
			way, factor, r.Target.Name, r.Target.Rate, float64(r.Results[sycamorerun.Answered])/seconds,
			float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000,
			float64(r.Results[sycamorerun.NotRun])/seconds, float64(r.Results[sycamorerun.Unknown])/seconds)
	}
	return nil
}
