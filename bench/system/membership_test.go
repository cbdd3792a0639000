package system

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// membersOf returns the members that a node knows, with their states.
func membersOf(t *testing.T, fleet *deployer.Fleet, node *deployer.Node, operator string) map[string]string {
	t.Helper()
	var members []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	if err := fleet.Read(t.Context(), operator, node, "/v1/members", &members); err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for _, member := range members {
		states[member.Name] = member.State
	}
	return states
}

// waitKnown waits until every node knows the ready upstreams beside all nodes.
func waitKnown(t *testing.T, fleet *deployer.Fleet, operator string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(deployer.Eventually(t.Context(), converged, func() bool {
		for _, node := range fleet.Nodes {
			ready := 0
			for _, state := range membersOf(t, fleet, node, operator) {
				if state == "ready" {
					ready++
				}
			}
			if ready != len(fleet.Nodes) {
				return false
			}
		}
		return true
	}))
}

// Guards against nodes that start at the same time and form groups that never
// learn of each other. With one node in each zone this happened in about one
// start of three; several fleets start here.
func TestOneFleet(t *testing.T) {
	for range 4 {
		t.Run("start", func(t *testing.T) {
			t.Parallel()
			fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(1), Upstreams: true})
			waitKnown(t, fleet, "quoting")
		})
	}
}
