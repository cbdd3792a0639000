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
	// smallBody and largeBody are the measured sizes.
	smallBody = 1 << 10
	largeBody = 1 << 20
	// largeShare is the part of the calls that are made with a large body.
	largeShare = 10
	// idleTime is observed without calls; its rates are taken off.
	idleTime = 3 * time.Second
)

// Cost is what one call costs one node.
type Cost struct {
	Way  string `json:"way"`
	Body string `json:"body"`
	Node string `json:"node"`
	// Reads and Writes are system calls; Wakeups are context switches.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Wakeups float64 `json:"wakeups"`
	// Allocations are objects on the heap, Allocated their bytes.
	Allocations float64 `json:"allocations"`
	Allocated   float64 `json:"allocated"`
	// BytesRead and BytesWritten are what the system calls moved.
	BytesRead    float64 `json:"bytesRead"`
	BytesWritten float64 `json:"bytesWritten"`
	// CPU is in microseconds.
	CPU float64 `json:"cpu"`
}

// shapes are the measured calls, made to every way.
var shapes = []struct {
	name   string
	target generator.Target
	share  int
}{
	{"request 1 KiB", generator.Target{Method: http.MethodPost, Path: "/upload", Body: make([]byte, smallBody)}, 1},
	{"response 1 KiB", generator.Target{Method: http.MethodGet, Path: fmt.Sprintf("/bytes?size=%d", smallBody)}, 1},
	{"request 1 MiB", generator.Target{Method: http.MethodPost, Path: "/upload", Body: make([]byte, largeBody)}, largeShare},
	{"response 1 MiB", generator.Target{Method: http.MethodGet, Path: fmt.Sprintf("/bytes?size=%d", largeBody)}, largeShare},
}

// Costs measures what calls cost the nodes, one call at a time.
func Costs(ctx context.Context, c Case, calls int) ([]Cost, error) {
	fleet, err := c.start(ctx, "--slots", "64")
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	beside, other := fleet.Nodes[0], fleet.Nodes[1]
	ways := []struct {
		name  string
		nodes []*deployer.Node
		roles []string
	}{
		{"own upstream", []*deployer.Node{beside}, []string{"caller's and upstream's"}},
		{"another node", []*deployer.Node{other, beside}, []string{"caller's", "upstream's"}},
	}
	idle, err := during(ctx, []*deployer.Node{other, beside}, func() { time.Sleep(idleTime) })
	if err != nil {
		return nil, err
	}
	var costs []Cost
	for _, way := range ways {
		for _, shape := range shapes {
			target, number := shape.target, max(1, calls/shape.share)
			target.Address, target.Host, target.Timeout = way.nodes[0].Callers, "quotes.example", timeout
			if err := answered(ctx, target, max(1, number/5)); err != nil {
				return nil, err
			}
			var failed error
			busy, err := during(ctx, way.nodes, func() { failed = answered(ctx, target, number) })
			if failed != nil || err != nil {
				return nil, cmp.Or(failed, err)
			}
			for i, node := range way.nodes {
				cost := perCall(busy[node], idle[node], number)
				cost.Way, cost.Body, cost.Node = way.name, shape.name, way.roles[i]
				costs = append(costs, cost)
			}
		}
	}
	return costs, nil
}

// answered makes calls, all of which must be answered.
func answered(ctx context.Context, target generator.Target, calls int) error {
	result := generator.RunSequential(ctx, target, calls)
	if count := result.Results[sycamorerun.Answered]; count != calls {
		return errors.Errorf("%s: answered %d of %d", target.Path, count, calls)
	}
	return nil
}

// perCall takes what the node uses without calls off.
func perCall(busy, idle usage, calls int) Cost {
	of := func(read func(usage) float64) float64 {
		rate := read(idle) / idle.took.Seconds()
		return max(0, read(busy)-rate*busy.took.Seconds()) / float64(calls)
	}
	return Cost{
		Reads:        of(func(u usage) float64 { return float64(u.Reads) }),
		Writes:       of(func(u usage) float64 { return float64(u.Writes) }),
		Wakeups:      of(func(u usage) float64 { return float64(u.Switches) }),
		Allocations:  of(func(u usage) float64 { return u.allocations }),
		Allocated:    of(func(u usage) float64 { return u.allocated }),
		BytesRead:    of(func(u usage) float64 { return float64(u.BytesRead) }),
		BytesWritten: of(func(u usage) float64 { return float64(u.BytesWritten) }),
		CPU:          of(func(u usage) float64 { return float64(u.cpu.Microseconds()) }),
	}
}

// usage is what a node used in some time.
type usage struct {
	launcher.Counters
	allocations, allocated float64
	cpu, took              time.Duration
}

// during returns what nodes use while run runs. Reading the counters of the
// heap costs allocations itself, about as many each time.
func during(ctx context.Context, nodes []*deployer.Node, run func()) (map[*deployer.Node]usage, error) {
	before, after := map[*deployer.Node]usage{}, map[*deployer.Node]usage{}
	read := func(into map[*deployer.Node]usage) error {
		for _, node := range nodes {
			var err error
			if into[node], err = used(ctx, node); err != nil {
				return err
			}
		}
		return nil
	}
	if err := read(before); err != nil {
		return nil, err
	}
	start := time.Now()
	run()
	took := time.Since(start)
	if err := read(after); err != nil {
		return nil, err
	}
	for node, end := range after {
		after[node] = end.since(before[node], took)
	}
	return after, nil
}

func (u usage) since(start usage, took time.Duration) usage {
	u.took = took
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

func used(ctx context.Context, node *deployer.Node) (usage, error) {
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

// WriteCosts writes a table, and the rows as JSON into a file unless its path
// is empty.
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
