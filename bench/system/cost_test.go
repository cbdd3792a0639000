package system

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun/bench/stresser"
)

// Guards against additional write system calls for each call: one more for each
// chunk of a body exceeds the bound.
func TestWritesPerCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	costs, err := stresser.Costs(t.Context(), stresser.Case{Binaries: binaryDir, Directory: t.TempDir()}, 200)
	is.NoErr(err)
	is.Equal(len(costs), 12)
	// A body of 1 MiB is sent in 32 chunks, which take 64 writes; window updates and
	// heads take some more.
	bounds := map[string]float64{"request 1 KiB": 4, "response 1 KiB": 4, "request 1 MiB": 90}
	cpu := 0.0
	for _, cost := range costs {
		t.Logf("%+v", cost)
		if bound, ok := bounds[cost.Body]; ok && cost.Writes > bound {
			t.Errorf("%s, %s, %s: %.1f writes exceed the bound of %.0f", cost.Way, cost.Body, cost.Node, cost.Writes, bound)
		}
		is.True(cost.Reads > 0 && cost.Wakeups > 0 && cost.Allocations > 0)
		cpu += cost.CPU
	}
	// The kernel counts processor time in ticks of 10 ms. 20 calls with 1 MiB
	// take two ticks and the usage of an idle node is subtracted, so a single row
	// can be zero. All rows together take about 50 ticks.
	is.True(cpu > 0)
}
