package system

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// membersOf returns the states of the members that a node knows, by name.
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

// waitAllReady waits until every node knows all nodes as members with a ready
// upstream.
func waitAllReady(t *testing.T, fleet *deployer.Fleet, operator string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(deployer.Eventually(t.Context(), convergenceLimit, func() bool {
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
// discover each other. With one node in each zone this happened in about one
// start of three, so several fleets are started.
func TestSimultaneousStart(t *testing.T) {
	for range 4 {
		t.Run("start", func(t *testing.T) {
			t.Parallel()
			fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(1), Upstreams: true})
			waitAllReady(t, fleet, "quoting")
		})
	}
}
