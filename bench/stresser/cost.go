package stresser

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/generator"
	"sycamorerun/bench/launcher"
	"sycamorerun/bench/scraper"
)

const (
	// smallBody and largeBody are the measured body sizes in bytes.
	smallBody = 1 << 10
	largeBody = 1 << 20
	// largeCallDivisor divides the number of calls with a large body.
	largeCallDivisor = 10
	// idleDuration is the period without calls that gives the baseline, which is
	// subtracted from the usage under load.
	idleDuration = 3 * time.Second
)

// Cost is the resource usage of one call at one node.
type Cost struct {
	// Way is the way of the call to the upstream, Body the measured direction and
	// body size, and Node the role of the node.
	Way  string `json:"way"`
	Body string `json:"body"`
	Node string `json:"node"`
	// Reads and Writes are the numbers of system calls, Wakeups is the number of
	// context switches.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Wakeups float64 `json:"wakeups"`
	// Allocations is the number of heap objects, Allocated their size in bytes.
	Allocations float64 `json:"allocations"`
	Allocated   float64 `json:"allocated"`
	// BytesRead and BytesWritten are the bytes that the system calls transferred.
	BytesRead    float64 `json:"bytesRead"`
	BytesWritten float64 `json:"bytesWritten"`
	// CPU is the processor time in microseconds.
	CPU float64 `json:"cpu"`
}

// callTypes are the calls that are measured for each way.
var callTypes = []struct {
	name    string
	target  generator.Target
	divisor int
}{
	{"request 1 KiB", generator.Target{Method: http.MethodPost, Path: "/upload", Body: make([]byte, smallBody)}, 1},
	{"response 1 KiB", generator.Target{Method: http.MethodGet, Path: fmt.Sprintf("/bytes?size=%d", smallBody)}, 1},
	{"request 1 MiB", generator.Target{Method: http.MethodPost, Path: "/upload", Body: make([]byte, largeBody)}, largeCallDivisor},
	{"response 1 MiB", generator.Target{Method: http.MethodGet, Path: fmt.Sprintf("/bytes?size=%d", largeBody)}, largeCallDivisor},
}

// Costs measures the resource usage of sequential calls at the nodes.
func Costs(ctx context.Context, c Case, calls int) ([]Cost, error) {
	fleet, err := c.start(ctx, "--slots", "64")
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	local, remote := fleet.Nodes[0], fleet.Nodes[1]
	ways := []struct {
		name  string
		nodes []*deployer.Node
		roles []string
	}{
		{"own upstream", []*deployer.Node{local}, []string{"caller's and upstream's"}},
		{"another node", []*deployer.Node{remote, local}, []string{"caller's", "upstream's"}},
	}
	idle, err := measureUsage(ctx, []*deployer.Node{remote, local}, func() { time.Sleep(idleDuration) })
	if err != nil {
		return nil, err
	}
	var costs []Cost
	for _, way := range ways {
		for _, callType := range callTypes {
			target, count := callType.target, max(1, calls/callType.divisor)
			target.Address, target.Host, target.Timeout = way.nodes[0].Callers, "quotes.example", callTimeout
			if err := requireAnswered(ctx, target, max(1, count/5)); err != nil {
				return nil, err
			}
			var failed error
			underLoad, err := measureUsage(ctx, way.nodes, func() { failed = requireAnswered(ctx, target, count) })
			if failed != nil || err != nil {
				return nil, cmp.Or(failed, err)
			}
			for i, node := range way.nodes {
				cost := perCall(underLoad[node], idle[node], count)
				cost.Way, cost.Body, cost.Node = way.name, callType.name, way.roles[i]
				costs = append(costs, cost)
			}
		}
	}
	return costs, nil
}

// requireAnswered sends calls sequentially and fails unless all are answered.
func requireAnswered(ctx context.Context, target generator.Target, calls int) error {
	result := generator.RunSequential(ctx, target, calls)
	if count := result.Results[sycamorerun.Answered]; count != calls {
		return errors.Errorf("%s: %d of %d calls answered", target.Path, count, calls)
	}
	return nil
}

// perCall returns the cost of one call, after subtracting the usage of the idle
// node over the same time.
func perCall(underLoad, idle usage, calls int) Cost {
	netPerCall := func(read func(usage) float64) float64 {
		rate := read(idle) / idle.elapsed.Seconds()
		return max(0, read(underLoad)-rate*underLoad.elapsed.Seconds()) / float64(calls)
	}
	return Cost{
		Reads:        netPerCall(func(u usage) float64 { return float64(u.Reads) }),
		Writes:       netPerCall(func(u usage) float64 { return float64(u.Writes) }),
		Wakeups:      netPerCall(func(u usage) float64 { return float64(u.Switches) }),
		Allocations:  netPerCall(func(u usage) float64 { return u.allocations }),
		Allocated:    netPerCall(func(u usage) float64 { return u.allocated }),
		BytesRead:    netPerCall(func(u usage) float64 { return float64(u.BytesRead) }),
		BytesWritten: netPerCall(func(u usage) float64 { return float64(u.BytesWritten) }),
		CPU:          netPerCall(func(u usage) float64 { return float64(u.cpu.Microseconds()) }),
	}
}

// usage is the resource usage of a node: totals since its start, or the increase
// over the time elapsed.
type usage struct {
	launcher.Counters
	allocations, allocated float64
	cpu, elapsed           time.Duration
}

// measureUsage returns the resource usage of nodes while run executes. Reading
// the heap counters allocates as well, about the same amount each time.
func measureUsage(ctx context.Context, nodes []*deployer.Node, run func()) (map[*deployer.Node]usage, error) {
	before, after := map[*deployer.Node]usage{}, map[*deployer.Node]usage{}
	readAll := func(target map[*deployer.Node]usage) error {
		for _, node := range nodes {
			var err error
			if target[node], err = readUsage(ctx, node); err != nil {
				return err
			}
		}
		return nil
	}
	if err := readAll(before); err != nil {
		return nil, err
	}
	start := time.Now()
	run()
	elapsed := time.Since(start)
	if err := readAll(after); err != nil {
		return nil, err
	}
	for node, end := range after {
		after[node] = end.minus(before[node], elapsed)
	}
	return after, nil
}

func (u usage) minus(start usage, elapsed time.Duration) usage {
	u.elapsed = elapsed
	u.cpu -= start.cpu
	u.allocations -= start.allocations
	u.allocated -= start.allocated
	u.Reads -= start.Reads
	u.Writes -= start.Writes
	u.Switches -= start.Switches
	u.BytesRead -= start.BytesRead
	u.BytesWritten -= start.BytesWritten
	return u
}

func readUsage(ctx context.Context, node *deployer.Node) (usage, error) {
	samples, err := scraper.Scrape(ctx, node.Operators)
	if err != nil {
		return usage{}, err
	}
	counters, err := node.Process.Counters()
	if err != nil {
		return usage{}, err
	}
	process, err := node.Process.Usage()
	return usage{
		Counters: counters, cpu: process.CPU,
		allocations: scraper.Sum(samples, "go_memstats_mallocs_total"),
		allocated:   scraper.Sum(samples, "go_memstats_alloc_bytes_total"),
	}, err
}

// WriteCosts writes a table, and the rows as JSON to a file unless its path is
// empty.
func WriteCosts(w io.Writer, costs []Cost, file string) error {
	fmt.Fprintln(w, "| way | body | node | reads | writes | wake-ups | allocations | KB allocated | KB read | KB written | CPU µs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range costs {
		fmt.Fprintf(w, "| %s | %s | %s | %.1f | %.1f | %.1f | %.0f | %.1f | %.1f | %.1f | %.0f |\n", c.Way, c.Body, c.Node,
			c.Reads, c.Writes, c.Wakeups, c.Allocations, c.Allocated/1000, c.BytesRead/1000, c.BytesWritten/1000, c.CPU)
	}
	if file == "" {
		return nil
	}
	text, err := json.MarshalIndent(costs, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the costs")
	}
	return errors.Wrap(os.WriteFile(file, append(text, '\n'), 0o644), "write the costs")
}
