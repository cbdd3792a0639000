package system

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun/bench/stresser"
)

// Guards the system calls of a call: one write more for each chunk of a body
// exceeds the bound.
func TestWritesPerCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	costs, err := stresser.Costs(t.Context(), stresser.Case{Binaries: binaries, Directory: t.TempDir()}, 200)
	is.NoErr(err)
	is.Equal(len(costs), 12)
	// 32 chunks of 1 MiB take 64 writes, and window updates and heads some more.
	bounds := map[string]float64{"request 1 KiB": 4, "response 1 KiB": 4, "request 1 MiB": 90}
	cpu := 0.0
	for _, cost := range costs {
		t.Logf("%+v", cost)
		if bound, ok := bounds[cost.Body]; ok && cost.Writes > bound {
			t.Errorf("%s, %s, %s: %.1f writes are more than %.0f", cost.Way, cost.Body, cost.Node, cost.Writes, bound)
		}
		is.True(cost.Reads > 0 && cost.Wakeups > 0 && cost.Allocations > 0)
		cpu += cost.CPU
	}
	// The kernel counts processor time in ticks of 10 ms. 20 calls with 1 MiB
	// take two of them, and what an idle node uses is taken off, so that one row
	// can come to nothing; all together take about 50.
	is.True(cpu > 0)
}
