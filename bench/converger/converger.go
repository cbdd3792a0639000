// Package converger measures how long changes take to be in force everywhere
// and what they cost, on a fleet of real processes.
package converger

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

const (
	// limit is how long a change may take at most in a measurement.
	limit = 60 * time.Second
	// teams is the number of teams that share the services of a tree.
	teams = 10
)

// Case is one measurement.
type Case struct {
	Mode     string
	Nodes    int
	Services int
	Changes  int
	// Interval is the time between changes.
	Interval time.Duration
	// Settle is the time before the first phase, for the start's traffic to
	// end: links of the first contacts close after 10 s, sessions a minute
	// after their last stream.
	Settle time.Duration
	// Idle is how long the fleet is observed without changes.
	Idle         time.Duration
	RegionDelay  time.Duration
	ZoneDelay    time.Duration
	StandbyDelay time.Duration
	// Paused is the number of changes that are applied while each region's
	// primary watcher is paused.
	Paused    int
	Binaries  string
	Directory string
	Network   uint8
}

// Cost is what the fleet used in one phase.
type Cost struct {
	Duration time.Duration
	// Bytes are those sent between nodes by scope, of all kinds of streams.
	Bytes map[string]float64
	// Content are those of the distributor alone.
	Content map[string]float64
	// Network are the bytes of each node in and out with TCP and IP.
	Network []NodeBytes
	// NetworkCross are those that nodes sent to other regions.
	NetworkCross float64
	// StoreCalls are reads, writes and waiting watches.
	StoreCalls float64
	// StoreCross are the bytes between the store and nodes in other regions.
	StoreCross float64
	CPU        time.Duration
}

// NodeBytes is what one node sent and received.
type NodeBytes struct {
	Bytes float64
	// Links is the number of the node's links at the end.
	Links int
}

// Result is what a case showed.
type Result struct {
	Case    Case
	Delays  *hdrhistogram.Histogram
	Idle    Cost
	Changes Cost
	// Paused are the delays until all running nodes had a change while the
	// primary watchers were paused.
	Paused *hdrhistogram.Histogram
	// Resident is the mean resident memory of a node in bytes.
	Resident int64
	// Worst is the largest resident memory of a node in bytes.
	Worst int64
	// Tree is the number of bytes of the settings files.
	Tree int
}

// scopes are the label values of the connector's counters.
var scopes = []string{"zone", "region", "cross-region"}

// Run starts a fleet, measures and stops it.
func Run(ctx context.Context, c Case) (Result, error) {
	zones := deployer.ReferenceZones(c.Nodes / 6)
	fleet, err := deployer.New(deployer.Spec{
		Binaries: c.Binaries, Directory: c.Directory, Zones: zones,
		Services: []string{"quote-desk"}, Relays: c.RegionDelay > 0 || c.ZoneDelay > 0,
		RegionDelay: c.RegionDelay, ZoneDelay: c.ZoneDelay,
		NodeArgs: []string{"--mode", c.Mode, "--standby-delay", c.StandbyDelay.String(), "--drain-delay", "0s"},
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Stop()
	if err := fleet.Start(ctx); err != nil {
		return Result{}, err
	}
	result := Result{Case: c, Delays: newDelays(), Paused: newDelays()}
	version, err := fill(ctx, fleet, c, &result)
	if err != nil {
		return result, err
	}
	if err := fleet.WaitVersion(ctx, version, len(fleet.Nodes), limit); err != nil {
		return result, err
	}
	deployer.Pause(ctx, c.Settle)
	if result.Idle, err = measure(ctx, fleet, func() error { deployer.Pause(ctx, c.Idle); return nil }); err != nil {
		return result, err
	}
	result.Changes, err = measure(ctx, fleet, func() error { return changes(ctx, fleet, c, &result) })
	if err != nil {
		return result, err
	}
	if err := result.memory(fleet); err != nil {
		return result, err
	}
	return result, pausedChanges(ctx, fleet, c, &result)
}

func newDelays() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, limit.Microseconds(), 3)
}

// fill applies the teams and their services.
func fill(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) (uint64, error) {
	modes := map[string]string{}
	for i := range teams {
		modes[team(i)] = "flow"
	}
	if err := fleet.DeclareTeams(ctx, modes); err != nil {
		return 0, err
	}
	var version uint64
	for i := range teams {
		text := settings(i, c.Services, "/")
		result.Tree += len(text)
		outcome, err := fleet.Apply(ctx, team(i), team(i), text, fleet.Nodes[0])
		if err != nil {
			return 0, err
		}
		if outcome.Status != "accepted" {
			return 0, errors.Errorf("team %d: %s %+v", i, outcome.Status, outcome.Faults)
		}
		version = *outcome.Version
	}
	return version, nil
}

func team(i int) string { return fmt.Sprintf("team-%d", i) }

// settings returns the settings of one team: its share of the services, two
// routes each.
func settings(i, services int, prefix string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "team: %s\nservices:\n", team(i))
	for s := i; s < services; s += teams {
		fmt.Fprintf(&text, "  service-%d: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 1s}\n", s)
	}
	text.WriteString("routes:\n")
	for s := i; s < services; s += teams {
		own := "/"
		if s == i {
			own = prefix
		}
		fmt.Fprintf(&text, "  read-%d: {hosts: [service-%d.example], prefix: %s, methods: [GET], class: interactive, split: [{service: service-%d, weight: 100}]}\n", s, s, own, s)
		fmt.Fprintf(&text, "  write-%d: {hosts: [service-%d.example], prefix: /, methods: [POST], class: bulk, repeat: never, split: [{service: service-%d, weight: 100}]}\n", s, s, s)
	}
	return text.String()
}

// changes applies changes of one route each through different nodes.
func changes(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) error {
	for i := range c.Changes {
		began := time.Now()
		node := fleet.Nodes[(i*7)%len(fleet.Nodes)]
		text := settings(i%teams, c.Services, fmt.Sprintf("/change-%d", i))
		outcome, err := fleet.Apply(ctx, team(i%teams), team(i%teams), text, node)
		if err != nil {
			return err
		}
		if outcome.Status != "accepted" {
			return errors.Errorf("change %d: %s %+v", i, outcome.Status, outcome.Faults)
		}
		if err := fleet.WaitVersion(ctx, *outcome.Version, len(fleet.Nodes), limit); err != nil {
			return err
		}
		for _, delay := range fleet.Observer.Delays(*outcome.Version) {
			if err := result.Delays.RecordValue(max(1, delay.Microseconds())); err != nil {
				return errors.Wrap(err, "record delay")
			}
		}
		deployer.Pause(ctx, c.Interval-time.Since(began))
	}
	return nil
}

// counters is a reading of everything that is counted.
type counters struct {
	bytes, content map[string]float64
	network        []NodeBytes
	networkCross   float64
	store, cross   float64
	cpu            time.Duration
	at             time.Time
}

// measure returns what the fleet used while do ran.
func measure(ctx context.Context, fleet *deployer.Fleet, do func() error) (Cost, error) {
	before, err := read(ctx, fleet)
	if err != nil {
		return Cost{}, err
	}
	if err := do(); err != nil {
		return Cost{}, err
	}
	deployer.Pause(ctx, 1500*time.Millisecond) // Counters are reported once a second.
	after, err := read(ctx, fleet)
	if err != nil {
		return Cost{}, err
	}
	network := after.network
	for i, b := range before.network {
		network[i].Bytes -= b.Bytes
	}
	cost := Cost{
		Network: network, NetworkCross: after.networkCross - before.networkCross,
		Duration: after.at.Sub(before.at), Bytes: map[string]float64{}, Content: map[string]float64{},
		StoreCalls: after.store - before.store, StoreCross: after.cross - before.cross, CPU: after.cpu - before.cpu,
	}
	for _, scope := range scopes {
		cost.Bytes[scope] = after.bytes[scope] - before.bytes[scope]
		cost.Content[scope] = after.content[scope] - before.content[scope]
	}
	return cost, nil
}

func read(ctx context.Context, fleet *deployer.Fleet) (counters, error) {
	c := counters{bytes: map[string]float64{}, content: map[string]float64{}, at: time.Now()}
	home := fleet.Spec.Zones[0].Region
	stats, err := fleet.StoreStats(ctx)
	if err != nil {
		return c, err
	}
	c.store = stats.Calls()
	for _, node := range fleet.Nodes {
		samples, err := scraper.Scrape(ctx, node.Operators)
		if err != nil {
			return c, err
		}
		for _, scope := range scopes {
			label := `scope="` + scope + `"`
			c.bytes[scope] += scraper.Sum(samples, "sycamorerun_connector_wire_bytes", label, `direction="out"`)
			c.content[scope] += scraper.Sum(samples, "sycamorerun_connector_stream_bytes", label, `direction="out"`, `kind="distributor"`)
		}
		c.network = append(c.network, NodeBytes{
			Bytes: scraper.Sum(samples, "sycamorerun_connector_network_bytes"),
			Links: int(scraper.Sum(samples, "sycamorerun_tracker_links")),
		})
		c.networkCross += scraper.Sum(samples, "sycamorerun_connector_network_bytes", `scope="cross-region"`, `direction="out"`)
		spent, err := node.Process.Usage()
		if err != nil {
			return c, err
		}
		c.cpu += spent.CPU
		if node.Zone.Region != home {
			c.cross += stats.Bytes(node.Name)
		}
	}
	return c, nil
}

// memory reads the resident memory of the nodes.
func (r *Result) memory(fleet *deployer.Fleet) error {
	var total int64
	for _, node := range fleet.Nodes {
		spent, err := node.Process.Usage()
		if err != nil {
			return err
		}
		total += spent.Resident
		r.Worst = max(r.Worst, spent.Resident)
	}
	r.Resident = total / int64(len(fleet.Nodes))
	return nil
}
