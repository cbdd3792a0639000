// Package converger measures the convergence time and the cost of settings
// changes on a fleet of real processes.
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
	// convergenceTimeout is the timeout for a change to be in force at all nodes.
	convergenceTimeout = 60 * time.Second
	// teamCount is the number of teams that share the services of a tree.
	teamCount = 10
)

// Case holds the parameters of a measurement.
type Case struct {
	Mode     string
	Nodes    int
	Services int
	Changes  int
	// Interval is the time between the starts of changes.
	Interval time.Duration
	// Settle is the delay before the first phase, in which start-up traffic ends:
	// links to initial contacts close after 10 s, sessions one minute after their
	// last stream.
	Settle time.Duration
	// Idle is the duration of the measurement without changes.
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

// Cost is the resource usage of the fleet in one phase.
type Cost struct {
	Duration time.Duration
	// WireBytes are the bytes sent between nodes, by scope, for all kinds of
	// streams.
	WireBytes map[string]float64
	// DistributorBytes are the bytes sent in streams of the distributor, by scope.
	DistributorBytes map[string]float64
	// Network has the bytes that each node sent and received, including TCP and IP
	// headers.
	Network []NodeBytes
	// NetworkCrossRegion is the part of these bytes that was sent to other regions.
	NetworkCrossRegion float64
	// StoreCalls is the number of reads, writes and blocking watches.
	StoreCalls float64
	// StoreCrossRegion is the number of bytes between the store and nodes in other
	// regions.
	StoreCrossRegion float64
	CPU              time.Duration
}

// NodeBytes is the network traffic of one node.
type NodeBytes struct {
	Bytes float64
	// Links is the number of links of the node at the end of the phase.
	Links int
}

// Result is the result of a measurement. Delays are in microseconds.
type Result struct {
	Case    Case
	Delays  *hdrhistogram.Histogram
	Idle    Cost
	Changes Cost
	// Paused has the delays until all running nodes had applied a change while
	// the primary watchers were paused.
	Paused *hdrhistogram.Histogram
	// MeanResident is the mean resident memory of a node in bytes.
	MeanResident int64
	// MaxResident is the largest resident memory of a node in bytes.
	MaxResident int64
	// SettingsBytes is the total size of the settings files in bytes.
	SettingsBytes int
}

// scopes are the values of the label scope of the connector's counters.
var scopes = []string{"zone", "region", "cross-region"}

// Run starts a fleet, measures it and stops it.
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
	version, err := applyInitialSettings(ctx, fleet, c, &result)
	if err != nil {
		return result, err
	}
	if err := fleet.WaitVersion(ctx, version, len(fleet.Nodes), convergenceTimeout); err != nil {
		return result, err
	}
	deployer.Pause(ctx, c.Settle)
	if result.Idle, err = measure(ctx, fleet, func() error { deployer.Pause(ctx, c.Idle); return nil }); err != nil {
		return result, err
	}
	result.Changes, err = measure(ctx, fleet, func() error { return applyChanges(ctx, fleet, c, &result) })
	if err != nil {
		return result, err
	}
	if err := result.readMemory(fleet); err != nil {
		return result, err
	}
	return result, applyPausedChanges(ctx, fleet, c, &result)
}

func newDelays() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, convergenceTimeout.Microseconds(), 3)
}

// applyInitialSettings creates the teams and applies the settings of their
// services. It returns the last version.
func applyInitialSettings(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) (uint64, error) {
	modes := map[string]string{}
	for i := range teamCount {
		modes[teamName(i)] = "flow"
	}
	if err := fleet.DeclareTeams(ctx, modes); err != nil {
		return 0, err
	}
	var version uint64
	for i := range teamCount {
		text := teamSettings(i, c.Services, "/")
		result.SettingsBytes += len(text)
		outcome, err := fleet.Apply(ctx, teamName(i), teamName(i), text, fleet.Nodes[0])
		if err != nil {
			return 0, err
		}
		if outcome.Status != "accepted" {
			return 0, errors.Errorf("settings of team %d not accepted: status %s, faults %+v", i, outcome.Status, outcome.Faults)
		}
		version = *outcome.Version
	}
	return version, nil
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// teamSettings returns the settings of one team: its share of the services, with
// two routes for each. The first read route has the prefix.
func teamSettings(i, services int, prefix string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "team: %s\nservices:\n", teamName(i))
	for s := i; s < services; s += teamCount {
		fmt.Fprintf(&text, "  service-%d: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 1s}\n", s)
	}
	text.WriteString("routes:\n")
	for s := i; s < services; s += teamCount {
		readPrefix := "/"
		if s == i {
			readPrefix = prefix
		}
		fmt.Fprintf(&text, "  read-%d: {hosts: [service-%d.example], prefix: %s, methods: [GET], class: interactive, split: [{service: service-%d, weight: 100}]}\n", s, s, readPrefix, s)
		fmt.Fprintf(&text, "  write-%d: {hosts: [service-%d.example], prefix: /, methods: [POST], class: bulk, repeat: never, split: [{service: service-%d, weight: 100}]}\n", s, s, s)
	}
	return text.String()
}

// applyChanges applies changes of one route each at different nodes and records
// the delays.
func applyChanges(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) error {
	for i := range c.Changes {
		start := time.Now()
		node := fleet.Nodes[(i*7)%len(fleet.Nodes)]
		text := teamSettings(i%teamCount, c.Services, fmt.Sprintf("/change-%d", i))
		outcome, err := fleet.Apply(ctx, teamName(i%teamCount), teamName(i%teamCount), text, node)
		if err != nil {
			return err
		}
		if outcome.Status != "accepted" {
			return errors.Errorf("change %d not accepted: status %s, faults %+v", i, outcome.Status, outcome.Faults)
		}
		if err := fleet.WaitVersion(ctx, *outcome.Version, len(fleet.Nodes), convergenceTimeout); err != nil {
			return err
		}
		for _, delay := range fleet.Observer.Delays(*outcome.Version) {
			if err := result.Delays.RecordValue(max(1, delay.Microseconds())); err != nil {
				return errors.Wrap(err, "record a convergence delay")
			}
		}
		deployer.Pause(ctx, c.Interval-time.Since(start))
	}
	return nil
}

// counters is a reading of all counters.
type counters struct {
	wireBytes, distributorBytes  map[string]float64
	network                      []NodeBytes
	networkCrossRegion           float64
	storeCalls, storeCrossRegion float64
	cpu                          time.Duration
	at                           time.Time
}

// measure returns the resource usage of the fleet while run executes.
func measure(ctx context.Context, fleet *deployer.Fleet, run func() error) (Cost, error) {
	before, err := readCounters(ctx, fleet)
	if err != nil {
		return Cost{}, err
	}
	if err := run(); err != nil {
		return Cost{}, err
	}
	deployer.Pause(ctx, 1500*time.Millisecond) // Nodes update their counters once per second.
	after, err := readCounters(ctx, fleet)
	if err != nil {
		return Cost{}, err
	}
	network := after.network
	for i, b := range before.network {
		network[i].Bytes -= b.Bytes
	}
	cost := Cost{
		Network: network, NetworkCrossRegion: after.networkCrossRegion - before.networkCrossRegion,
		Duration: after.at.Sub(before.at), WireBytes: map[string]float64{}, DistributorBytes: map[string]float64{},
		StoreCalls: after.storeCalls - before.storeCalls, StoreCrossRegion: after.storeCrossRegion - before.storeCrossRegion, CPU: after.cpu - before.cpu,
	}
	for _, scope := range scopes {
		cost.WireBytes[scope] = after.wireBytes[scope] - before.wireBytes[scope]
		cost.DistributorBytes[scope] = after.distributorBytes[scope] - before.distributorBytes[scope]
	}
	return cost, nil
}

func readCounters(ctx context.Context, fleet *deployer.Fleet) (counters, error) {
	c := counters{wireBytes: map[string]float64{}, distributorBytes: map[string]float64{}, at: time.Now()}
	storeRegion := fleet.Spec.Zones[0].Region
	stats, err := fleet.StoreStats(ctx)
	if err != nil {
		return c, err
	}
	c.storeCalls = stats.Calls()
	for _, node := range fleet.Nodes {
		samples, err := scraper.Scrape(ctx, node.Operators)
		if err != nil {
			return c, err
		}
		for _, scope := range scopes {
			label := `scope="` + scope + `"`
			c.wireBytes[scope] += scraper.Sum(samples, "sycamorerun_connector_wire_bytes", label, `direction="out"`)
			c.distributorBytes[scope] += scraper.Sum(samples, "sycamorerun_connector_stream_bytes", label, `direction="out"`, `kind="distributor"`)
		}
		c.network = append(c.network, NodeBytes{
			Bytes: scraper.Sum(samples, "sycamorerun_connector_network_bytes"),
			Links: int(scraper.Sum(samples, "sycamorerun_tracker_links")),
		})
		c.networkCrossRegion += scraper.Sum(samples, "sycamorerun_connector_network_bytes", `scope="cross-region"`, `direction="out"`)
		usage, err := node.Process.Usage()
		if err != nil {
			return c, err
		}
		c.cpu += usage.CPU
		if node.Zone.Region != storeRegion {
			c.storeCrossRegion += stats.Bytes(node.Name)
		}
	}
	return c, nil
}

// readMemory sets the mean and the maximum resident memory of the nodes.
func (r *Result) readMemory(fleet *deployer.Fleet) error {
	var total int64
	for _, node := range fleet.Nodes {
		usage, err := node.Process.Usage()
		if err != nil {
			return err
		}
		total += usage.Resident
		r.MaxResident = max(r.MaxResident, usage.Resident)
	}
	r.MeanResident = total / int64(len(fleet.Nodes))
	return nil
}
