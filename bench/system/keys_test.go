package system

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

// Guards against unknown results during and after a rolling restart. Each
// stopping node must transfer its idempotency keys, so that new bookings run
// and a retry of an earlier booking gets the recorded response.
func TestRollingRestartKeepsKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := t.Context()
	fleet := startBookings(t, "--drain-delay", "500ms")

	// Callers use the first two nodes; the other nodes restart.
	callers, restarting := fleet.Nodes[:2], fleet.Nodes[2:]
	firstResults := map[sycamorerun.Result]int{}
	var mutex sync.Mutex
	var keys []string
	stop := make(chan struct{})
	var group sync.WaitGroup
	for worker, node := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 3))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(10)) * time.Millisecond):
				}
				key := fmt.Sprintf("roll-%d-%d", worker, i)
				result, _, _ := call(ctx, node, http.MethodPost, "bookings.example", "/book", key, nil)
				mutex.Lock()
				firstResults[result]++
				if result == sycamorerun.Answered {
					keys = append(keys, key)
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, node := range restarting {
		is.NoErr(node.Process.Signal(syscall.SIGTERM))
		is.NoErr(deployer.Eventually(ctx, convergenceLimit, func() bool {
			_, _, err := deployer.Get(ctx, node.Operators, "/healthz")
			return err != nil
		}))
		is.NoErr(fleet.StartNode(ctx, node))
		is.NoErr(fleet.WaitReady(ctx, node))
		waitAllReady(t, fleet, "admin")
	}
	close(stop)
	group.Wait()
	for _, node := range restarting {
		// Counters are reported once a second.
		is.NoErr(deployer.Eventually(ctx, 5*time.Second, func() bool {
			samples, err := scraper.Scrape(ctx, node.Operators)
			return err == nil && scraper.Sum(samples, "sycamorerun_keys_joins", `complete="true"`) == 1 &&
				scraper.Sum(samples, "sycamorerun_keys_received") > 0
		}))
	}

	retryResults := map[sycamorerun.Result]int{}
	for i, key := range keys {
		result, _, _ := call(ctx, fleet.Nodes[i%len(fleet.Nodes)], http.MethodPost, "bookings.example", "/book", key, nil)
		retryResults[result]++
	}
	t.Logf("first attempts %v, retries %v", firstResults, retryResults)
	for key, count := range executionsByKey(t, fleet) {
		if count > 1 {
			t.Errorf("booking %s ran %d times", key, count)
		}
	}
	is.True(len(keys) > 100) // The checks above need enough load.
	is.Equal(firstResults[sycamorerun.Unknown], 0)
	is.Equal(retryResults[sycamorerun.Answered], len(keys))
}
