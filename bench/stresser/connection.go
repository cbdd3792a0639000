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

// callerConnections is the number of callers' connections that are kept open.
const callerConnections = 1000

// Connection is the memory that one idle caller's connection takes at a node.
type Connection struct {
	// Heap and Stack are bytes in use by the Go runtime, Resident those of the
	// process; each is the difference to before the connections, for one.
	Heap, Stack, Resident float64
}

// Connections opens connections of callers to a node, makes one small call over
// each and measures the node's memory while they are idle.
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
	before, err := memory(ctx, node)
	if err != nil {
		return Connection{}, err
	}
	for _, client := range clients[1:] {
		if err := callOnce(ctx, client, node); err != nil {
			return Connection{}, err
		}
	}
	after, err := memory(ctx, node)
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
		err = errors.Errorf("status %d", response.StatusCode)
	}
	return err
}

// memory reads what a node has in use, a moment after its last call.
func memory(ctx context.Context, node *deployer.Node) (Connection, error) {
	time.Sleep(idleTime)
	samples, err := scraper.Scrape(ctx, node.Operators)
	if err != nil {
		return Connection{}, err
	}
	spent, err := node.Process.Usage()
	return Connection{
		Heap: scraper.Sum(samples, "go_memstats_heap_inuse_bytes"), Stack: scraper.Sum(samples, "go_memstats_stack_inuse_bytes"),
		Resident: float64(spent.Resident),
	}, err
}

// WriteConnections prints the memory of a connection.
func WriteConnections(w io.Writer, c Connection) {
	fmt.Fprintf(w, "An idle caller's connection takes %.1f KB of heap, %.1f KB of stacks and %.1f KB of resident memory (%d connections, one small call each).\n",
		c.Heap/1e3, c.Stack/1e3, c.Resident/1e3, callerConnections)
}
