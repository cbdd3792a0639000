package system

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// detectionLimit is the time limit for detecting failed members, which takes 6 to
// 9 s on an idle machine.
const detectionLimit = 30 * time.Second

// zonesOf returns the availability zones of a region.
func zonesOf(fleet *deployer.Fleet, region string) []string {
	var zones []string
	for _, zone := range fleet.Spec.Zones {
		if zone.Region == region {
			zones = append(zones, zone.Name)
		}
	}
	return zones
}

// Guards against a partitioned region that stops serving, splits further or does
// not catch up after the partition when it also loses the members that watched
// the store and held its links with the other regions.
func TestIsolatedRegionLosesWatchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(3), Relays: true, Upstreams: true})
	ctx := t.Context()
	waitAllReady(t, fleet, "quoting")
	watching := watchers(t, fleet)
	var lost, remaining []*deployer.Node
	for _, node := range fleet.Nodes {
		switch {
		case node.Zone.Region != "north":
		case slices.Contains(watching, node):
			lost = append(lost, node)
		default:
			remaining = append(remaining, node)
		}
	}
	is.True(len(lost) > 0)
	fleet.Separate(zonesOf(fleet, "north"), append(zonesOf(fleet, "kigali"), zonesOf(fleet, "south")...))
	for _, node := range lost {
		is.NoErr(node.Process.Signal(syscall.SIGKILL))
	}
	t.Logf("region north is partitioned; %d of its %d nodes are killed", len(lost), len(lost)+len(remaining))
	outside := len(fleet.Nodes) - len(lost) - len(remaining)
	version := apply(t, fleet, "quoting", quotingSettings("/changed"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, outside, convergenceLimit))
	for _, node := range remaining {
		is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool { return callAnswered(ctx, node, "quotes.example", "/quotes/1") }))
	}
	// The next members by rank replace the lost ones once these are detected as
	// failed.
	for _, node := range remaining {
		is.NoErr(deployer.Eventually(ctx, detectionLimit, func() bool {
			members := membersOf(t, fleet, node, "quoting")
			return !slices.ContainsFunc(lost, func(gone *deployer.Node) bool { return members[gone.Name] != "" })
		}))
	}
	is.Equal(fleet.Observer.Count(version), outside)
	for _, node := range remaining {
		is.True(callAnswered(ctx, node, "quotes.example", "/quotes/1"))
	}
	fleet.Heal()
	is.NoErr(fleet.WaitVersion(ctx, version, outside+len(remaining), 10*time.Second+convergenceLimit))
	version = apply(t, fleet, "quoting", quotingSettings("/again"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, outside+len(remaining), convergenceLimit))
}

// Guards against nodes that wait for a broken network path, or that remove
// members as failed although a third region reaches both sides. North can reach
// neither kigali nor the store there. A zone of four nodes is large enough to be
// reported as unreachable as a whole.
func TestPartialPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: []deployer.Zone{
		{Name: "kigali-1", Region: "kigali", Nodes: 4}, {Name: "north-1", Region: "north", Nodes: 4}, {Name: "south-1", Region: "south", Nodes: 4},
	}, Relays: true, Upstreams: true})
	ctx := t.Context()
	waitAllReady(t, fleet, "quoting")
	fleet.Separate(zonesOf(fleet, "north"), zonesOf(fleet, "kigali"))
	for _, prefix := range []string{"/early", "/late", "/later"} {
		version := apply(t, fleet, "quoting", quotingSettings(prefix), fleet.Nodes[0])
		is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), convergenceLimit))
		time.Sleep(5 * time.Second) // The changes overlap silent links, suspected members and unreachable zones.
	}
	for _, zone := range []string{"kigali-1", "north-1"} {
		is.NoErr(deployer.Eventually(ctx, detectionLimit, func() bool {
			_, metrics, err := deployer.Get(ctx, fleet.NodesIn(zone)[0].Operators, "/metrics")
			return err == nil && gaugeValue(string(metrics), "sycamorerun_tracker_unreachable_zones") == "2"
		}))
	}
	for _, node := range fleet.Nodes {
		members := membersOf(t, fleet, node, "quoting")
		is.Equal(len(members), len(fleet.Nodes)) // South reaches all members, so none has failed.
		path := "/later/1"
		is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool { return callAnswered(ctx, node, "quotes.example", path) }))
	}
	fleet.Heal()
	version := apply(t, fleet, "quoting", quotingSettings("/healed"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), convergenceLimit))
}
