package plotter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sycamorerun"
	"sycamorerun/bench/player"
)

// Table returns a result as Markdown tables with units in the headers.
func Table(result player.Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "## %s\n\n", result.Name)
	if result.About != "" {
		fmt.Fprintf(&text, "%s\n\n", result.About)
	}
	fmt.Fprintf(&text, "Seed %d, %s for each variant.\n\n", result.Seed, time.Duration(result.Duration))
	writeRequests(&text, result)
	writePhases(&text, result)
	writeFleet(&text, result)
	writeFindings(&text, result)
	return text.String()
}

func writeRow(text *strings.Builder, cells ...string) {
	text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeHeader writes the header row and the separator row of a table.
func writeHeader(text *strings.Builder, cells ...string) {
	writeRow(text, cells...)
	writeRow(text, slices.Repeat([]string{"---"}, len(cells))...)
}

func formatMilliseconds(d sycamorerun.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/milliseconds)
}

func formatPercent(part, total int) string {
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", 100*float64(part)/float64(total))
}

// summaryCells returns the cells for the summary of a request kind.
func summaryCells(s player.Summary) []string {
	if s.Served == 0 {
		return []string{fmt.Sprint(s.Requests), formatPercent(0, s.Requests), "", fmt.Sprint(s.Refused), fmt.Sprint(s.Requests - s.Refused), "", "", ""}
	}
	return []string{
		fmt.Sprint(s.Requests), formatPercent(s.Served, s.Requests), formatPercent(s.WithinObjective, s.Requests), fmt.Sprint(s.Refused),
		fmt.Sprint(s.Requests - s.Served - s.Refused), formatMilliseconds(s.Median), formatMilliseconds(s.P99), formatMilliseconds(s.Worst),
	}
}

var summaryHeaders = []string{
	"requests", "served %", "in time %", "not run", "unknown", "median ms", "p99 ms", "worst ms",
}

func writeRequests(text *strings.Builder, result player.Result) {
	writeHeader(text, append([]string{"variant", "kind"}, summaryHeaders...)...)
	for _, variant := range result.Variants {
		for i, kind := range result.Kinds {
			writeRow(text, append([]string{variant.Name, kind}, summaryCells(variant.Kinds[i])...)...)
		}
	}
	text.WriteString("\n")
}

// writePhases writes the summaries of the phases if any variant has several.
func writePhases(text *strings.Builder, result player.Result) {
	if !slices.ContainsFunc(result.Variants, func(v player.Variant) bool { return len(v.Phases) > 1 }) {
		return
	}
	writeHeader(text, append([]string{"variant", "from s", "to s", "load", "kind"}, summaryHeaders...)...)
	for _, variant := range result.Variants {
		for _, phase := range variant.Phases {
			for i, kind := range result.Kinds {
				cells := []string{variant.Name, fmt.Sprint(phase.From), fmt.Sprint(phase.To), phase.Name, kind}
				writeRow(text, append(cells, summaryCells(phase.Kinds[i])...)...)
			}
		}
	}
	text.WriteString("\n")
}

// writeFleet writes convergence times, control bytes and store calls.
func writeFleet(text *strings.Builder, result player.Result) {
	writeHeader(text, "variant", "changes", "accepted", "acceptance median ms", "worst ms", "last node median ms", "worst ms", "last node with a fault, worst ms", "versions not everywhere",
		"between regions KB", "store to other regions KB", "between zones KB", "within zones KB", "store calls", "load average before", "after", "callers stalled s")
	for _, variant := range result.Variants {
		var accepted, last []sycamorerun.Duration
		missing, faulty := 0, sycamorerun.Duration(0)
		for _, change := range variant.Changes {
			switch {
			case change.Version == 0:
				continue
			case len(change.Missing) > 0:
				missing++
			default:
				last = append(last, change.Last)
			}
			accepted = append(accepted, change.AcceptanceLatency)
			faulty = max(faulty, change.LastFaulty)
		}
		var cross, store, region, zone, calls float64
		for _, sample := range variant.Samples {
			cross += sample.CrossRegionBytes
			store += sample.StoreBytes
			region += sample.RegionBytes
			zone += sample.ZoneBytes
			calls += sample.StoreCalls
		}
		cells := []string{variant.Name, fmt.Sprint(len(variant.Changes)), fmt.Sprint(len(accepted))}
		cells = append(cells, medianAndMax(accepted)...)
		cells = append(cells, medianAndMax(last)...)
		cells = append(cells, formatMilliseconds(faulty), fmt.Sprint(missing))
		for _, bytes := range []float64{cross, store, region, zone} {
			cells = append(cells, fmt.Sprintf("%.1f", bytes/kilobytes))
		}
		writeRow(text, append(cells, fmt.Sprintf("%.0f", calls), fmt.Sprintf("%.1f", variant.LoadBefore), fmt.Sprintf("%.1f", variant.LoadAfter), fmt.Sprintf("%.1f", time.Duration(variant.Stalled).Seconds()))...)
	}
	text.WriteString("\n")
}

// medianAndMax returns the median and the maximum of times as cells.
func medianAndMax(times []sycamorerun.Duration) []string {
	if len(times) == 0 {
		return []string{"", ""}
	}
	slices.Sort(times)
	return []string{formatMilliseconds(times[(len(times)-1)/2]), formatMilliseconds(times[len(times)-1])}
}

// writeFindings writes the number of broken promises and the first findings for
// each promise.
func writeFindings(text *strings.Builder, result player.Result) {
	for _, variant := range result.Variants {
		if len(variant.BrokenPromises) == 0 {
			fmt.Fprintf(text, "Variant %s: no broken promise in %d attempts.\n", variant.Name, variant.Attempts)
			continue
		}
		fmt.Fprintf(text, "Variant %s: broken promises in %d attempts:", variant.Name, variant.Attempts)
		for _, promise := range slices.Sorted(maps.Keys(variant.BrokenPromises)) {
			fmt.Fprintf(text, " %s %d", promise, variant.BrokenPromises[promise])
		}
		text.WriteString("\n\n")
		listed := map[string]int{}
		for _, finding := range variant.Findings {
			if listed[string(finding.Promise)]++; listed[string(finding.Promise)] <= 3 {
				fmt.Fprintf(text, "- %s: %s at %s, %s: %s\n", finding.Promise, finding.ID, finding.Instance, finding.Start.UTC().Format("15:04:05.000"), finding.Detail)
			}
		}
		text.WriteString("\n")
	}
}
