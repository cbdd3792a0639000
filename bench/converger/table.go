package converger

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Write prints results as a Markdown table with units in the heads.
func Write(w io.Writer, results []Result) error {
	heads := []string{
		"mode", "nodes", "services", "median ms", "p99 ms", "worst ms",
		"content B/change zone", "region", "cross-region", "store cross B/change",
		"idle B/s/node", "idle cross B/s",
		"idle with TCP/IP B/s/node mean", "worst", "links of worst", "cross-region with TCP/IP", "store calls/change", "idle store calls/s",
		"idle CPU %/node", "CPU ms/change/node", "RSS MB mean", "worst",
		"primaries paused: median of the last node ms", "worst ms",
	}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	row(table, heads...)
	rule := make([]string, len(heads))
	for i := range rule {
		rule[i] = "---"
	}
	row(table, rule...)
	for _, r := range results {
		row(table, r.cells()...)
	}
	return errors.Wrap(table.Flush(), "write table")
}

func row(w io.Writer, cells ...string) {
	for _, cell := range cells {
		fmt.Fprintf(w, "| %s\t", cell)
	}
	fmt.Fprintln(w, "|")
}

func (r Result) cells() []string {
	nodes, changes := float64(r.Case.Nodes), float64(r.Case.Changes)
	idle := r.Idle.Duration.Seconds()
	busy := r.Changes.Duration.Seconds()
	ms := func(quantile float64) string {
		return fmt.Sprintf("%.1f", float64(r.Delays.ValueAtQuantile(quantile))/1000)
	}
	// What the fleet uses without changes is not part of a change's cost.
	perChange := func(total, idleTotal float64) string {
		return fmt.Sprintf("%.0f", max(0, total-idleTotal/idle*busy)/changes)
	}
	idleBytes := r.Idle.Bytes["zone"] + r.Idle.Bytes["region"] + r.Idle.Bytes["cross-region"]
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
	cpu := float64(r.Changes.CPU) - float64(r.Idle.CPU)/idle*busy
	const mega = 1e6
	return []string{
		r.Case.Mode, fmt.Sprint(r.Case.Nodes), fmt.Sprint(r.Case.Services), ms(50), ms(99), ms(100),
		perChange(r.Changes.Content["zone"], r.Idle.Content["zone"]),
		perChange(r.Changes.Content["region"], r.Idle.Content["region"]),
		perChange(r.Changes.Content["cross-region"], r.Idle.Content["cross-region"]),
		perChange(r.Changes.StoreCross, r.Idle.StoreCross),
		fmt.Sprintf("%.0f", idleBytes/idle/nodes),
		fmt.Sprintf("%.0f", r.Idle.Bytes["cross-region"]/idle),
		fmt.Sprintf("%.0f", network/idle/nodes),
		fmt.Sprintf("%.0f", worst.Bytes/idle),
		fmt.Sprint(worst.Links),
		fmt.Sprintf("%.0f", r.Idle.NetworkCross/idle),
		perChange(r.Changes.StoreCalls, r.Idle.StoreCalls),
		fmt.Sprintf("%.1f", r.Idle.StoreCalls/idle),
		fmt.Sprintf("%.2f", r.Idle.CPU.Seconds()/idle/nodes*100),
		fmt.Sprintf("%.2f", max(0, cpu)/float64(time.Millisecond)/changes/nodes),
		fmt.Sprintf("%.1f", float64(r.Resident)/mega),
		fmt.Sprintf("%.1f", float64(r.Worst)/mega),
		paused(50), paused(100),
	}
}
