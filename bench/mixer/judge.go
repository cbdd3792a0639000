package mixer

import (
	"fmt"

	"sycamorerun"
)

// Records are the upstreams' own records: executions for each id, and whole
// uploads for each hash.
type Records struct {
	Runs    map[string]int
	Uploads map[string]int
}

// Judge compares what callers were told with the records and returns every
// contradiction.
func Judge(items []*Call, records Records) []string {
	var faults []string
	report := func(item *Call, fault string, executed int) {
		faults = append(faults, fmt.Sprintf("%s %s: executed %d times, told %+v", item.ID, fault, executed, item.Attempts))
	}
	sums := map[string]bool{}
	for _, item := range items {
		executed, counted := item.executed(records)
		sums[item.Sum] = true
		for _, told := range item.Attempts {
			if told.Answered() && !told.Whole {
				report(item, "got an answer that is not whole or not its own", executed)
			}
		}
		if !counted {
			continue
		}
		if item.Answered() && executed == 0 {
			report(item, "was answered and did not run", executed)
		}
		if item.NotRun() && executed > 0 {
			report(item, "was told not-run each time and ran", executed)
		}
		if most, bounded := item.most(); bounded && executed > most {
			report(item, "ran too often", executed)
		}
	}
	for sum := range records.Uploads {
		if !sums[sum] {
			faults = append(faults, "an upload was stored that no caller sent: "+sum)
		}
	}
	return faults
}

// executed returns how often the item ran, and whether that is on record.
func (i *Call) executed(records Records) (int, bool) {
	switch i.Kind {
	case Status, Count, Order:
		return records.Runs[i.ID], true
	case Upload:
		return records.Uploads[i.Sum], true
	default:
		return 0, false
	}
}

// most returns how often the item may run. A call with a key runs once, an
// upload once for each attempt that is not known to have not run; reads may be
// repeated.
func (i *Call) most() (int, bool) {
	switch i.Kind {
	case Order:
		return 1, true
	case Upload:
		most := 0
		for _, told := range i.Attempts {
			if told.Result != sycamorerun.NotRun {
				most++
			}
		}
		return most, true
	default:
		return 0, false
	}
}
