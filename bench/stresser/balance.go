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

// Limits of the measurement of balancing.
const (
	// balanceSettings is the service; its queue and slots are those of today's
	// deployments.
	balanceSettings = `team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 1s, warmup: 10s}
routes:
  quotes: {hosts: [quotes.example], prefix: /, class: interactive, split: [{service: quote-desk, weight: 100}]}
`
	balanceSlots = 6
	// usualLoad and highLoad are the calls that enter in a zone, as a part of
	// what its upstreams can run.
	usualLoad = 0.4
	highLoad  = 1.5
	// slowDelay is added to each call of the slow upstream, coldDelay to each
	// of the cold one.
	slowDelay = 300 * time.Millisecond
	coldDelay = 50 * time.Millisecond
	// falseSlots is what the misleading upstream announces, and falseLoad the
	// load that it reports.
	falseSlots = 1024
	falseLoad  = 0.001
	// spreadWait is how long the announced states take to reach every node.
	spreadWait = 3 * time.Second
)

// Policies of the nodes' setting --balance.
var Policies = []string{"load", "round-robin"}

// Balance is what one policy did.
type Balance struct {
	Policy  string
	Calls   int
	Results map[sycamorerun.Result]int
	Latency *hdrhistogram.Histogram
	// Away and Near count the answered calls that left the zone in which they
	// entered, and those that did not; by whether the zone is overloaded.
	Away, Near map[bool]int
	// Requests are the answered calls of each upstream.
	Requests map[string]int
	// Groups are the upstreams by what is special about them.
	Groups map[string][]string
}

// Groups of upstreams.
const (
	groupUsual      = "usual"
	groupOverloaded = "overloaded zone"
	groupSlow       = "slow"
	groupCold       = "cold"
	groupMisleading = "misleading"
)

var groups = []string{groupUsual, groupOverloaded, groupSlow, groupCold, groupMisleading}

// Balancing compares the policies on 20 upstreams of one service in six zones
// with callers at 24 nodes. One upstream is slow, one cold, one announces far
// more slots than it has, each in a zone of its own; the first zone's callers
// send more than its upstreams can run.
func Balancing(ctx context.Context, c Case) ([]Balance, error) {
	var results []Balance
	for _, policy := range Policies {
		result, err := c.balance(ctx, policy)
		if err != nil {
			return nil, errors.Wrap(err, policy)
		}
		results = append(results, result)
	}
	return results, nil
}

func (c Case) balance(ctx context.Context, policy string) (Balance, error) {
	const nodes = 4
	// The last node of the last four zones has another service.
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
	if err := c.disturb(ctx, fleet); err != nil {
		return Balance{}, err
	}
	result := Balance{
		Policy: policy, Results: map[sycamorerun.Result]int{}, Latency: hdrhistogram.New(1, timeout.Microseconds(), 3),
		Away: map[bool]int{}, Near: map[bool]int{}, Requests: map[string]int{}, Groups: map[string][]string{},
	}
	zones := map[string]string{}
	capacity := map[string]float64{}
	for i, node := range fleet.Nodes {
		zones[node.Name] = node.Zone.Name
		if node.Service == "quote-desk" {
			capacity[node.Zone.Name] += balanceSlots / c.Work.Seconds()
			result.Groups[group(i, nodes)] = append(result.Groups[group(i, nodes)], node.Name)
		}
	}
	overloaded := fleet.Nodes[0].Zone.Name
	var targets []generator.Target
	for _, node := range fleet.Nodes {
		load := usualLoad
		if node.Zone.Name == overloaded {
			load = highLoad
		}
		targets = append(targets, through(node, load*capacity[node.Zone.Name]/nodes))
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
				result.Near[zone == overloaded] += count
			} else {
				result.Away[zone == overloaded] += count
			}
		}
	}
	return result, nil
}

// disturb makes one upstream slow, one cold and one misleading, and waits until
// every node can know it.
func (c Case) disturb(ctx context.Context, fleet *deployer.Fleet) error {
	// The others are no longer in their slow start.
	time.Sleep(10 * time.Second)
	nodes := len(fleet.Nodes) / 6
	for i, node := range fleet.Nodes {
		var behavior map[string]any
		switch group(i, nodes) {
		case groupSlow:
			behavior = map[string]any{"delay": slowDelay.Milliseconds()}
		case groupCold:
			behavior = map[string]any{"state": "cold", "delay": coldDelay.Milliseconds()}
		case groupMisleading:
			behavior = map[string]any{"slots": falseSlots, "load": falseLoad}
		default:
			continue
		}
		if err := deployer.Put(ctx, node.Control, "/behavior", behavior); err != nil {
			return err
		}
	}
	time.Sleep(spreadWait)
	return nil
}

// group returns what is special about the upstream of node i when each zone
// has a number of nodes.
func group(i, nodes int) string {
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
	return groupUsual
}

// WriteBalances writes a table of the calls and one of the requests of each
// instance.
func WriteBalances(w io.Writer, balances []Balance) {
	fmt.Fprintln(w, "| policy | calls | not run | unknown | median ms | p99 ms | worst ms | leave the overloaded zone % | leave the other zones % |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, b := range balances {
		l := b.Latency
		fmt.Fprintf(w, "| %s | %d | %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f |\n", b.Policy, b.Calls,
			b.Results[sycamorerun.NotRun], b.Results[sycamorerun.Unknown],
			ms(l.ValueAtQuantile(50)), ms(l.ValueAtQuantile(99)), ms(l.Max()), b.share(true), b.share(false))
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
			fmt.Fprintf(w, " %s |", b.spread(name))
		}
		fmt.Fprintln(w)
	}
}

func ms(micros int64) float64 { return float64(micros) / 1000 }

// share is the part of the calls in percent that left their zone.
func (b Balance) share(overloaded bool) float64 {
	away := float64(b.Away[overloaded])
	return 100 * away / max(1, away+float64(b.Near[overloaded]))
}

// spread describes the requests of the upstreams of a group.
func (b Balance) spread(name string) string {
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
