package stresser

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/generator"
)

// Parameters of the balancing measurement.
const (
	// balanceSettings are the settings of the service. Its queue and slots match
	// current deployments.
	balanceSettings = `team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 1s, warmup: 10s}
routes:
  quotes: {hosts: [quotes.example], prefix: /, class: interactive, split: [{service: quote-desk, weight: 100}]}
`
	balanceSlots = 6
	// normalLoad and excessLoad are the rates of calls that enter in a zone,
	// relative to the capacity of its upstreams.
	normalLoad = 0.4
	excessLoad = 1.5
	// slowDelay is the latency added to each call at the slow upstream, coldDelay
	// at the cold upstream.
	slowDelay = 300 * time.Millisecond
	coldDelay = 50 * time.Millisecond
	// misleadingSlots and misleadingLoad are the number of slots and the load that
	// the misleading upstream announces.
	misleadingSlots = 1024
	misleadingLoad  = 0.001
	// propagationWait is the time for announced states to reach every node.
	propagationWait = 3 * time.Second
)

// Policies are the compared values of the node setting --balance.
var Policies = []string{"load", "round-robin"}

// Balance is the result of one policy.
type Balance struct {
	Policy  string
	Calls   int
	Results map[sycamorerun.Result]int
	Latency *hdrhistogram.Histogram
	// CrossZone and SameZone count the answered calls whose upstream is in a
	// different zone from the entry node, or in the same zone. The key true is for
	// calls that entered in the overloaded zone.
	CrossZone, SameZone map[bool]int
	// Requests is the number of answered calls by upstream.
	Requests map[string]int
	// Groups lists the upstreams by group.
	Groups map[string][]string
}

// Groups of upstreams, which are also column headers.
const (
	groupNormal     = "usual"
	groupOverloaded = "overloaded zone"
	groupSlow       = "slow"
	groupCold       = "cold"
	groupMisleading = "misleading"
)

var groups = []string{groupNormal, groupOverloaded, groupSlow, groupCold, groupMisleading}

// Balancing compares the policies on 20 upstreams of one service in six zones
// with callers at 24 nodes. One upstream is slow, one is cold, and one announces
// far more slots than it has, each in a different zone. The callers of the first
// zone exceed the capacity of its upstreams.
func Balancing(ctx context.Context, c Case) ([]Balance, error) {
	var results []Balance
	for _, policy := range Policies {
		result, err := c.measureBalance(ctx, policy)
		if err != nil {
			return nil, errors.Wrap(err, policy)
		}
		results = append(results, result)
	}
	return results, nil
}

func (c Case) measureBalance(ctx context.Context, policy string) (Balance, error) {
	const nodes = 4
	// The last node in each of the last four zones has another service.
	var services []string
	for i := range 6 * nodes {
		service := "quote-desk"
		if i%nodes == nodes-1 && i >= 2*nodes {
			service = "other"
		}
		services = append(services, service)
	}
	fleet, err := c.deploy(ctx, deployer.Spec{
		Zones: deployer.ReferenceZones(nodes), Services: services, Relays: true,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		NodeArgs:     []string{"--balance", policy, "--drain-delay", "0s"},
		UpstreamArgs: []string{"--work", c.Work.String(), "--slots", fmt.Sprint(balanceSlots)},
	}, balanceSettings)
	if err != nil {
		return Balance{}, err
	}
	defer fleet.Stop()
	if err := c.configureUpstreams(ctx, fleet); err != nil {
		return Balance{}, err
	}
	result := Balance{
		Policy: policy, Results: map[sycamorerun.Result]int{}, Latency: hdrhistogram.New(1, callTimeout.Microseconds(), 3),
		CrossZone: map[bool]int{}, SameZone: map[bool]int{}, Requests: map[string]int{}, Groups: map[string][]string{},
	}
	zones := map[string]string{}
	capacity := map[string]float64{}
	for i, node := range fleet.Nodes {
		zones[node.Name] = node.Zone.Name
		if node.Service == "quote-desk" {
			capacity[node.Zone.Name] += balanceSlots / c.Work.Seconds()
			result.Groups[upstreamGroup(i, nodes)] = append(result.Groups[upstreamGroup(i, nodes)], node.Name)
		}
	}
	overloaded := fleet.Nodes[0].Zone.Name
	var targets []generator.Target
	for _, node := range fleet.Nodes {
		load := normalLoad
		if node.Zone.Name == overloaded {
			load = excessLoad
		}
		targets = append(targets, nodeTarget(node, load*capacity[node.Zone.Name]/nodes))
	}
	for i, r := range generator.Run(ctx, targets, c.Duration) {
		result.Calls += r.Calls()
		result.Latency.Merge(r.Latency)
		for kind, count := range r.Results {
			result.Results[kind] += count
		}
		zone := fleet.Nodes[i].Zone.Name
		for upstream, count := range r.Upstreams {
			result.Requests[upstream] += count
			if zones[upstream] == zone {
				result.SameZone[zone == overloaded] += count
			} else {
				result.CrossZone[zone == overloaded] += count
			}
		}
	}
	return result, nil
}

// configureUpstreams makes one upstream slow, one cold and one misleading, and
// waits until the announced states have reached every node.
func (c Case) configureUpstreams(ctx context.Context, fleet *deployer.Fleet) error {
	// Waits for the end of the slow start (warmup) of all upstreams.
	time.Sleep(10 * time.Second)
	nodes := len(fleet.Nodes) / 6
	for i, node := range fleet.Nodes {
		var behavior map[string]any
		switch upstreamGroup(i, nodes) {
		case groupSlow:
			behavior = map[string]any{"delay": slowDelay.Milliseconds()}
		case groupCold:
			behavior = map[string]any{"state": "cold", "delay": coldDelay.Milliseconds()}
		case groupMisleading:
			behavior = map[string]any{"slots": misleadingSlots, "load": misleadingLoad}
		default:
			continue
		}
		if err := deployer.Put(ctx, node.Control, "/behavior", behavior); err != nil {
			return err
		}
	}
	time.Sleep(propagationWait)
	return nil
}

// upstreamGroup returns the group of the upstream of node i, given the number of
// nodes in each zone.
func upstreamGroup(i, nodes int) string {
	switch {
	case i < nodes:
		return groupOverloaded
	case i == nodes:
		return groupSlow
	case i == 2*nodes:
		return groupCold
	case i == 3*nodes:
		return groupMisleading
	}
	return groupNormal
}

// WriteBalances writes a table of the calls and a table of the answered calls of
// each group of upstreams.
func WriteBalances(w io.Writer, balances []Balance) {
	fmt.Fprintln(w, "| policy | calls | not run | unknown | median ms | p99 ms | worst ms | leave the overloaded zone % | leave the other zones % |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, b := range balances {
		l := b.Latency
		fmt.Fprintf(w, "| %s | %d | %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f |\n", b.Policy, b.Calls,
			b.Results[sycamorerun.NotRun], b.Results[sycamorerun.Unknown],
			milliseconds(l.ValueAtQuantile(50)), milliseconds(l.ValueAtQuantile(99)), milliseconds(l.Max()), b.crossZonePercent(true), b.crossZonePercent(false))
	}
	fmt.Fprintln(w, "\nAnswered calls of each upstream (least, mean, most):")
	fmt.Fprint(w, "\n| policy |")
	for _, name := range groups {
		fmt.Fprintf(w, " %s |", name)
	}
	fmt.Fprintln(w, "\n| --- | --- | --- | --- | --- | --- |")
	for _, b := range balances {
		fmt.Fprintf(w, "| %s |", b.Policy)
		for _, name := range groups {
			fmt.Fprintf(w, " %s |", b.requestCounts(name))
		}
		fmt.Fprintln(w)
	}
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

// crossZonePercent returns the percentage of answered calls that left their zone.
func (b Balance) crossZonePercent(overloaded bool) float64 {
	crossZone := float64(b.CrossZone[overloaded])
	return 100 * crossZone / max(1, crossZone+float64(b.SameZone[overloaded]))
}

// requestCounts formats the minimum, mean and maximum number of answered calls
// of the upstreams in a group, or the total if there is at most one.
func (b Balance) requestCounts(name string) string {
	var counts []int
	total := 0
	for _, upstream := range b.Groups[name] {
		counts = append(counts, b.Requests[upstream])
		total += b.Requests[upstream]
	}
	if len(counts) < 2 {
		return fmt.Sprint(total)
	}
	slices.SortFunc(counts, cmp.Compare[int])
	return fmt.Sprintf("%d, %d, %d", counts[0], total/len(counts), counts[len(counts)-1])
}
