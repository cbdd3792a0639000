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

// chaosSeed makes the choice of the failing nodes reproducible.
const chaosSeed = 20261204

// Guards against invariants that hold under each failure alone but not under
// several at once. Twice, a node is killed, another one is paused, an
// availability zone is partitioned and the store fails while operators submit
// conflicting changes. Afterwards every node must have the newest version, every
// reported acceptance must have its own entry in the history, and no node may
// have applied an older version after a newer one.
func TestCombinedFailures(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := start(t, deployer.Spec{Zones: deployer.ReferenceZones(2), Relays: true})
	ctx := t.Context()
	random := rand.New(rand.NewPCG(chaosSeed, 0))
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	reported := map[uint64]int{}
	for i, node := range fleet.Nodes[:4] {
		group.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				applyCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
				outcome, err := fleet.Apply(applyCtx, "quoting", "quoting", quotingSettings(fmt.Sprintf("/n%d-r%d", i, round)), node, fleet.Nodes[5])
				cancel()
				// The outcome can remain unknown while the store is down.
				if err == nil && outcome.Status == "accepted" {
					mutex.Lock()
					reported[*outcome.Version]++
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
	last := apply(t, fleet, "quoting", quotingSettings("/last"), fleet.Nodes[5])
	// The backoff between dials reaches 10 s during a partition.
	is.NoErr(fleet.WaitVersion(ctx, last, len(fleet.Nodes), 10*time.Second+convergenceLimit))
	inHistory := map[uint64]int{}
	for _, change := range historyOf(t, fleet, fleet.Nodes[5]) {
		inHistory[change.Version]++
	}
	t.Logf("%d accepted changes reported, newest version %d", len(reported), last)
	is.True(len(reported) > 0)
	for version, times := range reported {
		if inHistory[version] < times {
			t.Errorf("version %d was reported as accepted %d times but is in the history %d times", version, times, inHistory[version])
		}
	}
}
