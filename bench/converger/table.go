package converger

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Write writes results as a Markdown table with units in the header.
func Write(w io.Writer, results []Result) error {
	headers := []string{
		"mode", "nodes", "services", "median ms", "p99 ms", "worst ms",
		"content B/change zone", "region", "cross-region", "store cross B/change",
		"idle B/s/node", "idle cross B/s",
		"idle with TCP/IP B/s/node mean", "worst", "links of worst", "cross-region with TCP/IP", "store calls/change", "idle store calls/s",
		"idle CPU %/node", "CPU ms/change/node", "RSS MB mean", "worst",
		"primaries paused: median of the last node ms", "worst ms",
	}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	writeRow(table, headers...)
	separators := make([]string, len(headers))
	for i := range separators {
		separators[i] = "---"
	}
	writeRow(table, separators...)
	for _, r := range results {
		writeRow(table, r.cells()...)
	}
	return errors.Wrap(table.Flush(), "write table")
}

func writeRow(w io.Writer, cells ...string) {
	for _, cell := range cells {
		fmt.Fprintf(w, "| %s\t", cell)
	}
	fmt.Fprintln(w, "|")
}

func (r Result) cells() []string {
	nodes, changes := float64(r.Case.Nodes), float64(r.Case.Changes)
	idleSeconds := r.Idle.Duration.Seconds()
	changeSeconds := r.Changes.Duration.Seconds()
	ms := func(quantile float64) string {
		return fmt.Sprintf("%.1f", float64(r.Delays.ValueAtQuantile(quantile))/1000)
	}
	// Subtracts the idle usage over the same time from the usage with changes.
	perChange := func(total, idleTotal float64) string {
		return fmt.Sprintf("%.0f", max(0, total-idleTotal/idleSeconds*changeSeconds)/changes)
	}
	idleBytes := r.Idle.WireBytes["zone"] + r.Idle.WireBytes["region"] + r.Idle.WireBytes["cross-region"]
	network, worst := 0.0, NodeBytes{}
	for _, node := range r.Idle.Network {
		network += node.Bytes
		if node.Bytes > worst.Bytes {
			worst = node
		}
	}
	paused := func(quantile float64) string {
		if r.Paused.TotalCount() == 0 {
			return ""
		}
		return fmt.Sprintf("%.0f", float64(r.Paused.ValueAtQuantile(quantile))/1000)
	}
	cpu := float64(r.Changes.CPU) - float64(r.Idle.CPU)/idleSeconds*changeSeconds
	const megabyte = 1e6
	return []string{
		r.Case.Mode, fmt.Sprint(r.Case.Nodes), fmt.Sprint(r.Case.Services), ms(50), ms(99), ms(100),
		perChange(r.Changes.DistributorBytes["zone"], r.Idle.DistributorBytes["zone"]),
		perChange(r.Changes.DistributorBytes["region"], r.Idle.DistributorBytes["region"]),
		perChange(r.Changes.DistributorBytes["cross-region"], r.Idle.DistributorBytes["cross-region"]),
		perChange(r.Changes.StoreCrossRegion, r.Idle.StoreCrossRegion),
		fmt.Sprintf("%.0f", idleBytes/idleSeconds/nodes),
		fmt.Sprintf("%.0f", r.Idle.WireBytes["cross-region"]/idleSeconds),
		fmt.Sprintf("%.0f", network/idleSeconds/nodes),
		fmt.Sprintf("%.0f", worst.Bytes/idleSeconds),
		fmt.Sprint(worst.Links),
		fmt.Sprintf("%.0f", r.Idle.NetworkCrossRegion/idleSeconds),
		perChange(r.Changes.StoreCalls, r.Idle.StoreCalls),
		fmt.Sprintf("%.1f", r.Idle.StoreCalls/idleSeconds),
		fmt.Sprintf("%.2f", r.Idle.CPU.Seconds()/idleSeconds/nodes*100),
		fmt.Sprintf("%.2f", max(0, cpu)/float64(time.Millisecond)/changes/nodes),
		fmt.Sprintf("%.1f", float64(r.MeanResident)/megabyte),
		fmt.Sprintf("%.1f", float64(r.MaxResident)/megabyte),
		paused(50), paused(100),
	}
}
