package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// chaosSeed fixes the choice of the failing nodes.
const chaosSeed = 20261204

// Guards against invariants that hold under each failure alone but not
// together: twice, a node is killed, another one paused, an availability zone
// cut off and the store down while operators race. Afterwards every node has
// the newest version, every acceptance is in the history once, and none went
// back.
func TestAllAtOnceTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(2), Relays: true})
	ctx := t.Context()
	random := rand.New(rand.NewPCG(chaosSeed, 0))
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	found := map[uint64]int{}
	for i, node := range fleet.Nodes[:4] {
		group.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				limited, cancel := context.WithTimeout(ctx, 15*time.Second)
				outcome, err := fleet.Apply(limited, "quoting", "quoting", quoting(fmt.Sprintf("/n%d-r%d", i, round)), node, fleet.Nodes[5])
				cancel()
				// While the store is down the outcome can stay unknown.
				if err == nil && outcome.Status == "accepted" {
					mutex.Lock()
					found[*outcome.Version]++
					mutex.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range 2 {
		killed, paused := fleet.Nodes[6+random.IntN(3)], fleet.Nodes[9+random.IntN(3)]
		zone := fleet.Spec.Zones[1+random.IntN(2)].Name
		killed.Process.Kill()
		is.NoErr(paused.Process.Signal(syscall.SIGSTOP))
		fleet.Partition(zone)
		is.NoErr(fleet.SetStoreFaults(ctx, map[string]any{"rules": []map[string]any{{"kind": "refuse", "fraction": 0.5}, {"kind": "lose", "fraction": 0.3}}}))
		time.Sleep(2 * time.Second)
		is.NoErr(fleet.SetStoreFaults(ctx, map[string]any{"rules": []map[string]any{{"kind": "stall"}}}))
		time.Sleep(time.Second)
		is.NoErr(fleet.SetStoreFaults(ctx, map[string]any{}))
		fleet.Heal()
		is.NoErr(paused.Process.Signal(syscall.SIGCONT))
		is.NoErr(fleet.StartNode(ctx, killed))
		is.NoErr(fleet.WaitReady(ctx, killed))
	}
	close(stop)
	group.Wait()
	last := apply(t, fleet, "quoting", quoting("/last"), fleet.Nodes[5])
	// Dials back off up to 10 s during a partition.
	is.NoErr(fleet.WaitVersion(ctx, last, len(fleet.Nodes), 10*time.Second+converged))
	inHistory := map[uint64]int{}
	for _, change := range historyOf(t, fleet, fleet.Nodes[5]) {
		inHistory[change.Version]++
	}
	t.Logf("%d acceptances were reported, %d versions in all", len(found), last)
	is.True(len(found) > 0)
	for version, times := range found {
		if inHistory[version] < times {
			t.Errorf("version %d was reported accepted %d times and is %d times in the history", version, times, inHistory[version])
		}
	}
}
