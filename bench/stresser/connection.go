package stresser

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

// callerConnections is the number of caller connections that are kept open.
const callerConnections = 1000

// Connection is the memory in bytes that an idle caller connection uses at a
// node.
type Connection struct {
	// Heap and Stack are in use by the Go runtime, Resident is the resident memory
	// of the process. Each is the increase caused by all connections, divided by
	// their number.
	Heap, Stack, Resident float64
}

// Connections opens caller connections to a node, sends one small call over each
// and measures the memory of the node while they are idle.
func Connections(ctx context.Context, c Case) (Connection, error) {
	fleet, err := c.start(ctx, "--slots", "64")
	if err != nil {
		return Connection{}, err
	}
	defer fleet.Stop()
	node := fleet.Nodes[0]
	clients := make([]*http.Client, callerConnections)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
		defer clients[i].CloseIdleConnections()
	}
	if err := callOnce(ctx, clients[0], node); err != nil {
		return Connection{}, err
	}
	before, err := readMemory(ctx, node)
	if err != nil {
		return Connection{}, err
	}
	for _, client := range clients[1:] {
		if err := callOnce(ctx, client, node); err != nil {
			return Connection{}, err
		}
	}
	after, err := readMemory(ctx, node)
	const opened = callerConnections - 1
	return Connection{
		Heap: (after.Heap - before.Heap) / opened, Stack: (after.Stack - before.Stack) / opened,
		Resident: (after.Resident - before.Resident) / opened,
	}, err
}

func callOnce(ctx context.Context, client *http.Client, node *deployer.Node) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Callers.String()+"/bytes?size=100", nil)
	if err != nil {
		return err
	}
	request.Host = "quotes.example"
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("call answered with status %d", response.StatusCode)
	}
	return err
}

// readMemory returns the memory that a node uses, after an idle period.
func readMemory(ctx context.Context, node *deployer.Node) (Connection, error) {
	time.Sleep(idleDuration)
	samples, err := scraper.Scrape(ctx, node.Operators)
	if err != nil {
		return Connection{}, err
	}
	usage, err := node.Process.Usage()
	return Connection{
		Heap: scraper.Sum(samples, "go_memstats_heap_inuse_bytes"), Stack: scraper.Sum(samples, "go_memstats_stack_inuse_bytes"),
		Resident: float64(usage.Resident),
	}, err
}

// WriteConnections writes the memory of a connection.
func WriteConnections(w io.Writer, c Connection) {
	fmt.Fprintf(w, "An idle caller's connection takes %.1f KB of heap, %.1f KB of stacks and %.1f KB of resident memory (%d connections, one small call each).\n",
		c.Heap/1e3, c.Stack/1e3, c.Resident/1e3, callerConnections)
}
