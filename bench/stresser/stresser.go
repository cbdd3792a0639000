// Package stresser measures what the data path adds to a call and how it
// behaves under overload, on a fleet of real processes.
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

// settings of the measured service; its queue and slots are those of today's
// deployments.
const settings = `team: quoting
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
	readyLimit = 20 * time.Second
	warmUp     = 2 * time.Second
	timeout    = 5 * time.Second
)

// Case is one measurement.
type Case struct {
	Binaries  string
	Directory string
	// Rate is the calls per second to each target of Latency.
	Rate     float64
	Duration time.Duration
	// Work is the time that an upstream takes for a call, for Overload.
	Work time.Duration
}

// start starts two nodes in one availability zone; the first one has an
// upstream of the measured service, the second one another service.
func (c Case) start(ctx context.Context, upstreamArgs ...string) (*deployer.Fleet, error) {
	return c.deploy(ctx, deployer.Spec{
		Zones:    []deployer.Zone{{Name: "kigali-1", Region: "kigali", Nodes: 2}},
		Services: []string{"quote-desk", "other"}, NodeArgs: []string{"--drain-delay", "0s"},
		UpstreamArgs: upstreamArgs,
	}, settings)
}

// deploy starts a fleet with the service's settings in force.
func (c Case) deploy(ctx context.Context, spec deployer.Spec, text string) (*deployer.Fleet, error) {
	var err error
	if spec.Directory, err = os.MkdirTemp(c.Directory, "fleet"); err != nil {
		return nil, errors.Wrap(err, "make a directory")
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
		return errors.Errorf("settings: %s %+v", outcome.Status, outcome.Faults)
	}
	probe := targets(fleet, 10)[:1]
	for _, node := range fleet.Nodes {
		probe = append(probe, through(node, 10))
	}
	return deployer.Eventually(ctx, readyLimit, func() bool {
		for _, result := range generator.Run(ctx, probe, 100*time.Millisecond) {
			if result.Results[sycamorerun.Answered] != result.Calls() {
				return false
			}
		}
		return true
	})
}

// targets are a direct call, one through the node beside the upstream and one
// through another node.
func targets(fleet *deployer.Fleet, rate float64) []generator.Target {
	local, peer := through(fleet.Nodes[0], rate), through(fleet.Nodes[1], rate)
	direct := local
	direct.Name, direct.Address = "direct", fleet.Nodes[0].Upstream
	local.Name, peer.Name = "node beside the upstream", "another node"
	return []generator.Target{direct, local, peer}
}

// through are calls that enter at a node.
func through(node *deployer.Node, rate float64) generator.Target {
	return generator.Target{
		Name: node.Name, Address: node.Callers, Method: http.MethodGet, Host: "quotes.example", Path: "/quotes/1",
		Rate: rate, Timeout: timeout,
	}
}

// Latency compares the three ways to an upstream in the same run and writes a
// table.
func Latency(ctx context.Context, c Case, w io.Writer) error {
	fleet, err := c.start(ctx, "--slots", "64")
	if err != nil {
		return err
	}
	defer fleet.Stop()
	generator.Run(ctx, targets(fleet, c.Rate), warmUp)
	before, err := spent(fleet)
	if err != nil {
		return err
	}
	results := generator.Run(ctx, targets(fleet, c.Rate), c.Duration)
	after, err := spent(fleet)
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
	through := float64(results[1].Calls() + results[2].Calls())
	fmt.Fprintf(w, "\nProcessor time of both nodes together: %.0f µs a call through a node.\n", float64((after-before).Microseconds())/through)
	return nil
}

// spent is the processor time of all nodes so far.
func spent(fleet *deployer.Fleet) (time.Duration, error) {
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

// Overload offers multiples of the upstream's capacity and writes a table of
// what is answered, through a node and directly.
func Overload(ctx context.Context, c Case, w io.Writer) error {
	fmt.Fprintln(w, "| way | offered of capacity | class | offered/s | answered/s | median ms | p99 ms | not-run/s | unknown/s |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	const slots = 6
	capacity := slots / c.Work.Seconds()
	for _, factor := range []float64{0.8, 2, 5} {
		for _, way := range []string{"node", "direct"} {
			if err := c.overload(ctx, w, way, factor, capacity); err != nil {
				return err
			}
		}
	}
	return nil
}

// overload measures one row pair: half of the calls are interactive, half
// background.
func (c Case) overload(ctx context.Context, w io.Writer, way string, factor, capacity float64) error {
	fleet, err := c.start(ctx, "--work", c.Work.String(), "--slots", "6")
	if err != nil {
		return err
	}
	defer fleet.Stop()
	all := targets(fleet, factor*capacity/2)
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
