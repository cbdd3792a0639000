package system

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// detected bounds the detection of failed members, which takes 6 to 9 s on a
// machine that is not busy.
const detected = 30 * time.Second

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

// Guards against a region that, cut off and without the members that linked it
// with the others and watched the store, stops serving, falls apart or never
// catches up.
func TestRegionCutWithoutFirstMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(3), Relays: true, Upstreams: true})
	ctx := t.Context()
	waitKnown(t, fleet, "quoting")
	watching := watchers(t, fleet)
	var lost, left []*deployer.Node
	for _, node := range fleet.Nodes {
		switch {
		case node.Zone.Region != "north":
		case slices.Contains(watching, node):
			lost = append(lost, node)
		default:
			left = append(left, node)
		}
	}
	is.True(len(lost) > 0)
	fleet.Separate(zonesOf(fleet, "north"), append(zonesOf(fleet, "kigali"), zonesOf(fleet, "south")...))
	for _, node := range lost {
		is.NoErr(node.Process.Signal(syscall.SIGKILL))
	}
	t.Logf("region north is cut off, %d of its %d nodes are lost", len(lost), len(lost)+len(left))
	outside := len(fleet.Nodes) - len(lost) - len(left)
	version := apply(t, fleet, "quoting", quoting("/changed"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, outside, converged))
	for _, node := range left {
		is.NoErr(deployer.Eventually(ctx, converged, func() bool { return answers(ctx, node, "quotes.example", "/quotes/1") }))
	}
	// The region's next members rank first once the lost ones count as failed.
	for _, node := range left {
		is.NoErr(deployer.Eventually(ctx, detected, func() bool {
			members := membersOf(t, fleet, node, "quoting")
			return !slices.ContainsFunc(lost, func(gone *deployer.Node) bool { return members[gone.Name] != "" })
		}))
	}
	is.Equal(fleet.Observer.Count(version), outside)
	for _, node := range left {
		is.True(answers(ctx, node, "quotes.example", "/quotes/1"))
	}
	fleet.Heal()
	is.NoErr(fleet.WaitVersion(ctx, version, outside+len(left), 10*time.Second+converged))
	version = apply(t, fleet, "quoting", quoting("/again"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, outside+len(left), converged))
}

// Guards against nodes that wait for a path that is cut or drop members as
// failed although a third region reaches both sides: north reaches neither
// kigali nor the store there. With four nodes, a zone that can't be reached is
// claimed as a whole.
func TestPartialPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: []deployer.Zone{
		{Name: "kigali-1", Region: "kigali", Nodes: 4}, {Name: "north-1", Region: "north", Nodes: 4}, {Name: "south-1", Region: "south", Nodes: 4},
	}, Relays: true, Upstreams: true})
	ctx := t.Context()
	waitKnown(t, fleet, "quoting")
	fleet.Separate(zonesOf(fleet, "north"), zonesOf(fleet, "kigali"))
	for _, prefix := range []string{"/early", "/late", "/later"} {
		version := apply(t, fleet, "quoting", quoting(prefix), fleet.Nodes[0])
		is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), converged))
		time.Sleep(5 * time.Second) // The changes meet links that are silent, suspicions and claims.
	}
	for _, zone := range []string{"kigali-1", "north-1"} {
		is.NoErr(deployer.Eventually(ctx, detected, func() bool {
			_, metrics, err := deployer.Get(ctx, fleet.NodesIn(zone)[0].Operators, "/metrics")
			return err == nil && gauge(string(metrics), "sycamorerun_tracker_unreachable_zones") == "2"
		}))
	}
	for _, node := range fleet.Nodes {
		members := membersOf(t, fleet, node, "quoting")
		is.Equal(len(members), len(fleet.Nodes)) // South reaches them all, so none is down.
		path := "/later/1"
		is.NoErr(deployer.Eventually(ctx, converged, func() bool { return answers(ctx, node, "quotes.example", path) }))
	}
	fleet.Heal()
	version := apply(t, fleet, "quoting", quoting("/healed"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), converged))
}
